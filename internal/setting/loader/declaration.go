package loader

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Declaration is a resource declared by an operator.
type Declaration struct {
	Kind reducer.Kind    `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

type declarationFile struct {
	Declarations []Declaration `json:"declarations"`
}

// LoadDeclarations reads declarations from a file, see ParseDeclarations.
func LoadDeclarations(path string) ([]Declaration, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseDeclarations(path, data)
}

// ParseDeclarations parses and validates declarations. It sorts them by kind, so that they can be applied in order.
// Errors contain fileName.
func ParseDeclarations(fileName string, data []byte) ([]Declaration, error) {
	var file declarationFile
	if err := decode(fileName, data, &file); err != nil {
		return nil, err
	}
	for i, d := range file.Declarations {
		if err := reducer.Validate(d.Kind, d.Name, d.Spec); err != nil {
			field := fmt.Sprintf("declarations[%d]", i)
			return nil, &FieldError{File: fileName, Line: lineOfField(data, field), Field: field, Message: err.Error()}
		}
	}
	slices.SortStableFunc(file.Declarations, func(a, b Declaration) int {
		return slices.Index(reducer.Kinds, a.Kind) - slices.Index(reducer.Kinds, b.Kind)
	})
	return file.Declarations, nil
}
