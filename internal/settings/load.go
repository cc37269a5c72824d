package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"ibisline/internal/structs"
)

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	loaded, err := Parse(text)
	if err != nil {
		return Settings{}, errors.Wrap(err, path)
	}
	return loaded, nil
}

// Parse reads TOML text over the defaults and checks the result. All faults of
// the values are reported together.
func Parse(text []byte) (Settings, error) {
	loaded := Default()
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&loaded); err != nil {
		return Settings{}, describeSyntax(err)
	}
	if err := check(loaded); err != nil {
		return Settings{}, err
	}
	if loaded.Instance.Duty == structs.DutyGateway && loaded.Gateway.Listen == "" {
		return Settings{}, errors.New("gateway.listen is nothing; allowed: IP:port, with the duty gateway")
	}
	if loaded.Instance.Duty == structs.DutyKeeper && loaded.Keeper.DataDir == "" {
		return Settings{}, errors.New("keeper.data_dir is nothing; allowed: a folder, with the duty keeper")
	}
	return loaded, nil
}

// describeSyntax turns the decoder's errors into ones that show line and key.
func describeSyntax(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errors.Errorf("unknown key:\n%s", strict.String())
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return errors.Errorf("malformed settings:\n%s", decode.String())
	}
	return err
}

// check validates every field by its tags.
func check(loaded Settings) error {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("toml")
	})
	checker.RegisterCustomTypeFunc(func(field reflect.Value) any {
		return field.Interface().(Duration).Std()
	}, Duration(0))
	err := checker.Struct(loaded)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	var lines []string
	for _, fault := range faults {
		lines = append(lines, describeFault(fault))
	}
	return errors.New(strings.Join(lines, "\n"))
}

// describeFault names the key, the value and what is allowed.
func describeFault(fault validator.FieldError) string {
	key := strings.TrimPrefix(fault.Namespace(), "Settings.")
	value := fmt.Sprintf("%v", fault.Value())
	if value == "" {
		value = "nothing"
	}
	return fmt.Sprintf("%s is %s; allowed: %s", key, value, allowed(fault))
}

// allowed returns the text of the "allowed" tag of the faulty field.
func allowed(fault validator.FieldError) string {
	table, _, _ := strings.Cut(strings.TrimPrefix(fault.StructNamespace(), "Settings."), ".")
	section, ok := reflect.TypeFor[Settings]().FieldByName(table)
	if !ok {
		return fault.Tag()
	}
	name, _, _ := strings.Cut(fault.StructField(), "[")
	field, ok := section.Type.FieldByName(name)
	if !ok {
		return fault.Tag()
	}
	return field.Tag.Get("allowed")
}
