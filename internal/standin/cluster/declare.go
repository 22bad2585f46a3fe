package cluster

import (
	"context"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

// declare puts the declaration in force in all processes.
func (c *Cluster) declare(context.Context) error {
	c.holder.Adopt(catalog.Build(&jayv1.Snapshot{Generation: 1, Resources: c.Declaration()}))
	return nil
}
