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

// verifyTimeout bounds the read that follows an edit whose reply was lost.
const verifyTimeout = 5 * time.Second

// list prints all entries.
func (c *command) list(ctx context.Context) error {
	entries, err := c.entries(ctx)
	if err != nil {
		return err
	}
	return c.out.entries(entries)
}

// entries returns the valid entries and reports malformed ones on standard error.
func (c *command) entries(ctx context.Context) ([]structs.Entry, error) {
	objects, _, err := c.store.List(ctx, structs.CataloguePrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list entries")
	}
	var entries []structs.Entry
	for _, object := range objects {
		entry, err := catalogue.Decode(object)
		if err != nil {
			fmt.Fprintf(c.errOut, "ibisctl: object %s is malformed: %s\n", object.Key, err)
			continue
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// get prints one entry.
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
		return structs.Entry{}, newFailure(ExitNotFound, "there is no entry %q", name)
	}
	if err != nil {
		return structs.Entry{}, errors.Wrapf(err, "read entry %q", name)
	}
	entry, err := catalogue.Decode(object)
	if err != nil {
		return structs.Entry{}, newFailure(ExitFailed, "entry %q is malformed (%s); replace it with entry put --file",
			name, err)
	}
	return entry, nil
}

// put creates an entry or sets fields of an existing one. A malformed entry can only
// be replaced as a whole, from a file.
func (c *command) put(ctx context.Context, args *PutArgs) error {
	object, err := c.store.Get(ctx, catalogue.Key(args.Name))
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return errors.Wrapf(err, "read entry %q", args.Name)
	}
	var current *structs.Entry
	if decoded, err := catalogue.Decode(object); err == nil {
		current = &decoded
	} else if object.Version != objectapi.NoVersion && args.File == "" {
		return newFailure(ExitFailed, "entry %q is malformed (%s); replace it with --file", args.Name, err)
	}
	edited := structs.Entry{Name: args.Name}
	if current != nil {
		edited = *current
	}
	if args.File != "" {
		if edited, err = c.readFile(args.File); err != nil {
			return err
		}
	}
	args.apply(&edited)
	if edited.Name != args.Name {
		return usageError("the file describes entry %q, not %q", edited.Name, args.Name)
	}
	edited.Version = object.Version
	return c.edit(ctx, current, edited, args.EditArgs)
}

// readFile reads an entry from a JSON file; the path "-" is standard input.
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
	return decodeEntry(in)
}

// decodeEntry decodes an entry from JSON and rejects unknown fields.
func decodeEntry(in io.Reader) (structs.Entry, error) {
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
	return c.changeLimits(ctx, args, func(before, after structs.EntryLimits) error {
		if exceeds(before, after) {
			return usageError("a limit would be lowered; use entry lower instead")
		}
		return nil
	})
}

// lower lowers limits of an entry.
func (c *command) lower(ctx context.Context, args *LimitArgs) error {
	return c.changeLimits(ctx, args, func(before, after structs.EntryLimits) error {
		if exceeds(after, before) {
			return usageError("a limit would be raised; use entry raise instead")
		}
		return nil
	})
}

// changeLimits sets limits of an entry if check accepts the change.
func (c *command) changeLimits(
	ctx context.Context, args *LimitArgs, check func(before, after structs.EntryLimits) error,
) error {
	current, err := c.load(ctx, args.Name)
	if err != nil {
		return err
	}
	edited := current
	args.LimitFlags.apply(&edited)
	if edited.Limits() == current.Limits() {
		return usageError("entry %q already has these limits; change at least one of --share, --max-concurrent, --max-queued and --rate",
			args.Name)
	}
	if err := check(current.Limits(), edited.Limits()); err != nil {
		return err
	}
	return c.edit(ctx, &current, edited, args.EditArgs)
}

// retire marks an entry as retired.
func (c *command) retire(ctx context.Context, args *RetireArgs) error {
	current, err := c.load(ctx, args.Name)
	if err != nil {
		return err
	}
	edited := current
	edited.Retired = true
	return c.edit(ctx, &current, edited, args.EditArgs)
}

// edit validates and writes an entry that replaces current, and with --wait waits
// until it is in force. edited.Version is the version that it replaces.
func (c *command) edit(ctx context.Context, current *structs.Entry, edited structs.Entry, args EditArgs) error {
	if args.Version != 0 && args.Version != edited.Version {
		return c.conflict(ctx, edited.Name)
	}
	author := c.args.Author
	if author == "" {
		return usageError("--author or IBISCTL_AUTHOR is needed for an edit")
	}
	replaced := edited.Version
	edited = prepareEdit(current, edited, editMetadata{author: author, reason: args.Reason, at: c.now().UTC()})
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

// write stores the entry if the stored version still equals replaced, and returns the
// new version.
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
		return c.verifyWrite(ctx, entry.Name, value)
	case err != nil:
		return 0, errors.Wrapf(err, "write entry %q", entry.Name)
	}
	return version, nil
}

// verifyWrite reads the entry back to determine whether a write whose reply was lost
// took effect. The value contains the author and time of the edit, so an equal
// stored value comes from this edit.
func (c *command) verifyWrite(ctx context.Context, name string, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verifyTimeout)
	defer cancel()
	object, err := c.store.Get(ctx, catalogue.Key(name))
	if err == nil && bytes.Equal(object.Value, value) {
		return object.Version, nil
	}
	return 0, newFailure(ExitUnknown, "the platform's reply was lost: the edit of %q may have been made or may still take effect; check with entry get before repeating it", name)
}

// conflict returns the error for an entry that was changed concurrently, with the
// author and reason of that change if the entry can be read.
func (c *command) conflict(ctx context.Context, name string) error {
	stored, err := c.load(ctx, name)
	if err != nil {
		return newFailure(ExitConflict, "entry %q was changed concurrently by another operator; this edit was not applied",
			name)
	}
	return newFailure(ExitConflict, "entry %q was changed first by %q at %s (reason: %q, version %d); this edit was not applied; review the entry and repeat the edit",
		name, stored.Author, stored.ChangedAt.Format(time.RFC3339), stored.Reason, stored.Version)
}
