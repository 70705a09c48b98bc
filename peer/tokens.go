package peer

import (
	"context"

	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// Tokens sends a token request to vm, which owns the tokens.
func (c *Clients) Tokens(ctx context.Context, vm model.VMID, r *peerv1.TokensRequest) (*peerv1.TokensResponse, error) {
	client, err := c.client(vm)
	if err != nil {
		return nil, err
	}
	return client.Tokens(ctx, r)
}

// Release tells vm, the next owner of an item, that this VM no longer owns it.
func (c *Clients) Release(ctx context.Context, vm model.VMID, r *peerv1.ReleaseRequest) error {
	client, err := c.client(vm)
	if err != nil {
		return err
	}
	_, err = client.Release(ctx, r)
	return err
}
