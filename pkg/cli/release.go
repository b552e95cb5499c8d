package cli

import (
	"context"
	"fmt"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/ownership"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// ReleaseCommand frees a shard whose owner and successor the operator confirms to have ended.
type ReleaseCommand struct {
	storeFlags
	Shard     string `arg:"" help:"Shard, such as seoul-1/0."`
	HostsGone bool   `required:"" help:"You have made sure that the hosts of the owner and the successor are switched off."`
}

// Help returns the detailed help text, which says what the operator has to make sure of; kong calls it.
func (ReleaseCommand) Help() string {
	return "A shard whose owner and successor were lost without a trace (power, network) stays without an\nowner, because foldarch can't tell them from processes that are cut off and still serve. Release\nit only when both hosts are certainly off: otherwise work may run twice.\n\nExample:\n\n  foldarch release --store 127.0.0.1:7000 --hosts-gone seoul-1/0"
}

// Run writes an ownership record with the next epoch and without owner and successor, so that any entry host
// can claim the shard.
func (c ReleaseCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	shard, err := cell.ParseShardID(c.Shard)
	if err != nil {
		return err
	}
	s, err := c.openStore(e.clk)
	if err != nil {
		return err
	}
	item, err := s.Read(ctx, ownership.RecordKey(shard))
	if err != nil {
		return errors.Wrapf(err, "record of %s", shard)
	}
	record, err := ownership.ParseRecord(item.Value)
	if err != nil {
		return err
	}
	free := ownership.Record{Epoch: record.Epoch + 1, WriteID: uuid.NewString()}
	if _, err := s.Swap(ctx, store.Item{Key: item.Key, Value: free.String()}, item.Revision); err != nil {
		return errors.Wrapf(err, "release of %s", shard)
	}
	fmt.Fprintf(e.out, "%s is free; it was owned by %s with successor %s\n", shard, record.Owner.ID, record.Successor.ID)
	return nil
}
