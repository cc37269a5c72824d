package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/catalogue"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// settleTime bounds the look-up after an edit whose reply was lost.
const settleTime = 5 * time.Second

// list shows all entries.
func (c *command) list(ctx context.Context) error {
	entries, err := c.entries(ctx)
	if err != nil {
		return err
	}
	return c.out.entries(entries)
}

// entries returns the valid entries; malformed ones are named on standard error.
func (c *command) entries(ctx context.Context) ([]structs.Entry, error) {
	objects, _, err := c.store.List(ctx, structs.CataloguePrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list entries")
	}
	var entries []structs.Entry
	for _, object := range objects {
		entry, err := catalogue.Decode(object)
		if err != nil {
			fmt.Fprintf(c.err, "ibisctl: object %s is malformed: %s\n", object.Key, err)
			continue
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// get shows one entry.
func (c *command) get(ctx context.Context, name string) error {
	entry, err := c.load(ctx, name)
	if err != nil {
		return err
	}
	return c.out.entry(entry)
}

// load reads one entry from the platform.
func (c *command) load(ctx context.Context, name string) (structs.Entry, error) {
	object, err := c.store.Get(ctx, catalogue.Key(name))
	if errors.Is(err, objectapi.ErrNotFound) {
		return structs.Entry{}, failed(ExitNotFound, "there is no entry %q", name)
	}
	if err != nil {
		return structs.Entry{}, errors.Wrapf(err, "read entry %q", name)
	}
	entry, err := catalogue.Decode(object)
	if err != nil {
		return structs.Entry{}, failed(ExitFailed, "entry %q is malformed (%s); replace it with entry put --file", name, err)
	}
	return entry, nil
}

// put creates an entry or sets fields of one. A malformed entry is replaced only
// as a whole, from a file.
func (c *command) put(ctx context.Context, args *PutArgs) error {
	object, err := c.store.Get(ctx, catalogue.Key(args.Name))
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return errors.Wrapf(err, "read entry %q", args.Name)
	}
	var held *structs.Entry
	if decoded, err := catalogue.Decode(object); err == nil {
		held = &decoded
	} else if object.Version != objectapi.NoVersion && args.File == "" {
		return failed(ExitFailed, "entry %q is malformed (%s); replace it with --file", args.Name, err)
	}
	edited := structs.Entry{Name: args.Name}
	if held != nil {
		edited = *held
	}
	if args.File != "" {
		if edited, err = c.readFile(args.File); err != nil {
			return err
		}
	}
	args.set(&edited)
	if edited.Name != args.Name {
		return usageError("the file describes entry %q, not %q", edited.Name, args.Name)
	}
	edited.Version = object.Version
	return c.edit(ctx, held, edited, args.EditArgs)
}

// readFile reads an entry from a JSON file.
func (c *command) readFile(path string) (structs.Entry, error) {
	in := c.in
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return structs.Entry{}, usageError("%s", err)
		}
		defer file.Close()
		in = file
	}
	return decodeFile(in)
}

// decodeFile decodes an entry strictly.
func decodeFile(in io.Reader) (structs.Entry, error) {
	var entry structs.Entry
	decoder := json.NewDecoder(in)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&entry); err != nil {
		return structs.Entry{}, usageError("entry file: %s", err)
	}
	return entry, nil
}

// raise raises limits of an entry.
func (c *command) raise(ctx context.Context, args *LimitArgs) error {
	return c.move(ctx, args, func(before, after structs.EntryLimits) error {
		if exceeds(before, after) {
			return usageError("a limit would be lowered; use entry lower for it")
		}
		return nil
	})
}

// lower lowers limits of an entry.
func (c *command) lower(ctx context.Context, args *LimitArgs) error {
	return c.move(ctx, args, func(before, after structs.EntryLimits) error {
		if exceeds(after, before) {
			return usageError("a limit would be raised; use entry raise for it")
		}
		return nil
	})
}

// move changes limits if allowed agrees.
func (c *command) move(ctx context.Context, args *LimitArgs, allowed func(before, after structs.EntryLimits) error) error {
	held, err := c.load(ctx, args.Name)
	if err != nil {
		return err
	}
	edited := held
	args.LimitFlags.set(&edited)
	if edited.Limits() == held.Limits() {
		return usageError("entry %q has these limits already; give --share, --max-concurrent, --max-queued or --rate", args.Name)
	}
	if err := allowed(held.Limits(), edited.Limits()); err != nil {
		return err
	}
	return c.edit(ctx, &held, edited, args.EditArgs)
}

// retire ends an entry.
func (c *command) retire(ctx context.Context, args *RetireArgs) error {
	held, err := c.load(ctx, args.Name)
	if err != nil {
		return err
	}
	edited := held
	edited.Retired = true
	return c.edit(ctx, &held, edited, args.EditArgs)
}

// edit checks and writes the successor of held, and waits until it is in force
// when that was asked for. edited.Version is the version that it replaces.
func (c *command) edit(ctx context.Context, held *structs.Entry, edited structs.Entry, args EditArgs) error {
	if args.Version != 0 && args.Version != edited.Version {
		return c.conflict(ctx, edited.Name)
	}
	author := c.args.Author
	if author == "" {
		return usageError("--author or IBISCTL_AUTHOR is needed for an edit")
	}
	replaced := edited.Version
	edited = amend(held, edited, stamp{author: author, reason: args.Reason, at: c.now().UTC()})
	if err := catalogue.Check(edited); err != nil {
		return usageError("entry %q: %s", edited.Name, err)
	}
	version, err := c.write(ctx, edited, replaced)
	if err != nil {
		return err
	}
	edited.Version = version
	if err := c.out.entry(edited); err != nil {
		return err
	}
	if !c.args.Wait {
		return nil
	}
	return c.waitInForce(ctx, version)
}

// write puts the entry and returns its new version.
func (c *command) write(ctx context.Context, entry structs.Entry, replaced int64) (int64, error) {
	value, err := catalogue.Encode(entry)
	if err != nil {
		return 0, err
	}
	version, err := c.store.Put(ctx, catalogue.Key(entry.Name), value, replaced)
	switch {
	case errors.Is(err, objectapi.ErrConflict):
		return 0, c.conflict(ctx, entry.Name)
	case errors.Is(err, objectapi.ErrUnknown):
		return c.settle(ctx, entry.Name, value)
	case err != nil:
		return 0, errors.Wrapf(err, "write entry %q", entry.Name)
	}
	return version, nil
}

// settle finds out whether a write whose reply was lost took effect. The value
// carries author and time of the edit, so an equal one is this edit's.
func (c *command) settle(ctx context.Context, name string, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTime)
	defer cancel()
	object, err := c.store.Get(ctx, catalogue.Key(name))
	if err == nil && bytes.Equal(object.Value, value) {
		return object.Version, nil
	}
	return 0, failed(ExitUnknown, "the platform's reply was lost: the edit of %q may have been made or may still be; check with entry get before repeating it", name)
}

// conflict explains that another operator was first.
func (c *command) conflict(ctx context.Context, name string) error {
	now, err := c.load(ctx, name)
	if err != nil {
		return failed(ExitConflict, "entry %q was changed by somebody else meanwhile; nothing was changed here", name)
	}
	return failed(ExitConflict, "entry %q was changed first by %q at %s (reason: %q, version %d); nothing was changed here; look at it and repeat your edit",
		name, now.Author, now.ChangedAt.Format(time.RFC3339), now.Reason, now.Version)
}
