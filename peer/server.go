package peer

import (
	"context"

	"github.com/chervilhatch/chervilhatch/executor"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// TokenHandler processes token requests and releases of items.
type TokenHandler interface {
	Tokens(ctx context.Context, r *peerv1.TokensRequest) (*peerv1.TokensResponse, error)
	Release(ctx context.Context, r *peerv1.ReleaseRequest) error
}

// Server implements peerv1.PeerServer.
type Server struct {
	peerv1.UnimplementedPeerServer

	holders   executor.UpstreamOpener
	exchanger *Exchanger
	tokens    TokenHandler
}

// NewServer returns a server that runs batches on the upstream connections of
// this VM, which are those of holders.
func NewServer(holders executor.UpstreamOpener, e *Exchanger, t TokenHandler) *Server {
	return &Server{holders: holders, exchanger: e, tokens: t}
}

// Tokens implements peerv1.PeerServer.
func (s *Server) Tokens(ctx context.Context, r *peerv1.TokensRequest) (*peerv1.TokensResponse, error) {
	return s.tokens.Tokens(ctx, r)
}

// Ping implements peerv1.PeerServer.
func (s *Server) Ping(context.Context, *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	return &peerv1.PingResponse{}, nil
}

// Release implements peerv1.PeerServer.
func (s *Server) Release(ctx context.Context, r *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	if err := s.tokens.Release(ctx, r); err != nil {
		return nil, err
	}
	return &peerv1.ReleaseResponse{}, nil
}
