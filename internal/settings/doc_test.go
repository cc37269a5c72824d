package settings_test

import (
	"os"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/settings"
)

// TestEveryKeyIsDocumented checks that docs/SETTINGS.md contains each key.
func TestEveryKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	root := reflect.TypeFor[settings.Settings]()
	for i := range root.NumField() {
		section := root.Field(i)
		for j := range section.Type.NumField() {
			key := section.Tag.Get("toml") + "." + section.Type.Field(j).Tag.Get("toml")
			require.Contains(t, string(page), "`"+key+"`")
		}
	}
}
