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

// Load reads and validates the settings file at path.
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

// Parse decodes TOML text over the defaults and validates the result. All invalid
// values are reported together, except that gateway.listen and keeper.data_dir are
// checked only once the other values are valid.
func Parse(text []byte) (Settings, error) {
	loaded := Default()
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&loaded); err != nil {
		return Settings{}, describeSyntax(err)
	}
	if err := validate(loaded); err != nil {
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

// describeSyntax converts decoder errors to errors that show the line and the key.
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

// validate checks every field against its validate tag.
func validate(loaded Settings) error {
	structValidator := validator.New(validator.WithRequiredStructEnabled())
	structValidator.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("toml")
	})
	structValidator.RegisterCustomTypeFunc(func(field reflect.Value) any {
		return field.Interface().(Duration).Std()
	}, Duration(0))
	err := structValidator.Struct(loaded)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return err
	}
	var lines []string
	for _, fieldError := range fieldErrors {
		lines = append(lines, describeError(fieldError))
	}
	return errors.New(strings.Join(lines, "\n"))
}

// describeError returns a text with the key, the value and the allowed values.
func describeError(fieldError validator.FieldError) string {
	key := strings.TrimPrefix(fieldError.Namespace(), "Settings.")
	value := fmt.Sprintf("%v", fieldError.Value())
	if value == "" {
		value = "nothing"
	}
	return fmt.Sprintf("%s is %s; allowed: %s", key, value, allowedValues(fieldError))
}

// allowedValues returns the "allowed" tag of the invalid field, or the name of the
// failed validation if there is none.
func allowedValues(fieldError validator.FieldError) string {
	table, _, _ := strings.Cut(strings.TrimPrefix(fieldError.StructNamespace(), "Settings."), ".")
	section, ok := reflect.TypeFor[Settings]().FieldByName(table)
	if !ok {
		return fieldError.Tag()
	}
	name, _, _ := strings.Cut(fieldError.StructField(), "[")
	field, ok := section.Type.FieldByName(name)
	if !ok {
		return fieldError.Tag()
	}
	return field.Tag.Get("allowed")
}
