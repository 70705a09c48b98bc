package operator

import (
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/findings"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

func toResponse(r config.Record) *operatorv1.GetConfigResponse {
	return &operatorv1.GetConfigResponse{
		Version:        r.Version,
		Document:       []byte(r.Document),
		Author:         r.Author,
		Summary:        r.Summary,
		AcceptedUnixMs: r.AcceptedUnixMS,
	}
}

func toFindings(list findings.List) []*operatorv1.Finding {
	out := make([]*operatorv1.Finding, len(list))
	for i, f := range list {
		out[i] = &operatorv1.Finding{
			File:    f.File,
			Line:    int32(f.Line),
			Column:  int32(f.Column),
			Path:    f.Path,
			Message: f.Message,
		}
	}
	return out
}

func vmNames(vms []model.VMID) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = string(vm)
	}
	return names
}
