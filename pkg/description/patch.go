package description

import (
	"unicode/utf8"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// PatchKind is the format of a patch.
type PatchKind string

// The supported patch formats.
const (
	// MergePatch is a JSON merge patch (RFC 7386).
	MergePatch PatchKind = "merge"
	// JSONPatch is a JSON patch (RFC 6902).
	JSONPatch PatchKind = "json"
)

// Apply applies patch to body and validates the result. It returns the new
// description and its canonical encoding.
func Apply(body []byte, kind PatchKind, patch []byte) (*Description, []byte, error) {
	if len(patch) > MaxBytes {
		return nil, nil, result.New(result.DescriptionTooLarge, "patch of %d bytes exceeds %d", len(patch), MaxBytes)
	}
	if !utf8.Valid(patch) {
		// The decoder would replace the invalid bytes, and names would silently change.
		return nil, nil, result.New(result.PatchMalformed, "patch is not valid UTF-8")
	}
	patched, err := applyPatch(body, kind, patch)
	if err != nil {
		return nil, nil, result.New(result.PatchMalformed, "%v", err)
	}
	d, err := decode(patched)
	if err != nil {
		return nil, nil, err
	}
	if err := d.validateNew(); err != nil {
		return nil, nil, err
	}
	canonical, err := d.Encode()
	if err != nil {
		return nil, nil, result.New(result.Internal, "cannot encode the description: %v", err)
	}
	return d, canonical, nil
}

func applyPatch(body []byte, kind PatchKind, patch []byte) ([]byte, error) {
	if kind == MergePatch {
		return jsonpatch.MergePatch(body, patch)
	}
	if kind != JSONPatch {
		return nil, result.New(result.PatchMalformed, "unknown patch kind %q", kind)
	}
	decoded, err := jsonpatch.DecodePatch(patch)
	if err != nil {
		return nil, err
	}
	return decoded.Apply(body)
}
