package inventory

import (
	"papayacroft/document"
	"papayacroft/finding"
)

// File is the layout of inventory.yaml.
type File struct {
	Organisations []Organisation `yaml:"organisations" required:"true"`
	Owners        []Owner        `yaml:"owners" required:"true"`
	Models        []Model        `yaml:"models" required:"true"`
	Pools         []Pool         `yaml:"pools" required:"true"`
	Endpoints     []Endpoint     `yaml:"endpoints" required:"true"`
}

// RulesFile is the layout of rules.yaml.
type RulesFile struct {
	Classes []Class `yaml:"classes" required:"true"`
}

// Source is the name and content of a file.
type Source struct {
	File string
	Data []byte
}

// Parse reads an inventory and a rules file and validates them together.
func Parse(inv, rul Source) (*Configuration, finding.List) {
	var invFile File
	var rulFile RulesFile
	invDoc, lst := document.Decode(inv.File, inv.Data, &invFile)
	rulDoc, rulLst := document.Decode(rul.File, rul.Data, &rulFile)
	lst = append(lst, rulLst...)
	cfg, duplicates := build(&invFile, &rulFile)
	if len(lst) == 0 {
		lst = append(lst, cfg.Validate()...)
	}
	lst = append(lst, duplicates...)
	locate(lst, invDoc, rulDoc)
	lst.Sort()
	return cfg, lst
}

// locate sets file, line and column of each finding from the document that contains the finding's path.
func locate(lst finding.List, invDoc, rulDoc *document.Document) {
	for i := range lst {
		if root := rootOf(lst[i].Path); root == "classes" || rulDoc.Has(lst[i].Path) {
			rulDoc.Locate(lst[i : i+1])
		}
	}
	invDoc.Locate(lst)
}

func rootOf(path string) string {
	for i, chr := range path {
		if chr == '[' || chr == '.' {
			return path[:i]
		}
	}
	return path
}

func build(inv *File, rul *RulesFile) (*Configuration, finding.List) {
	var lst finding.List
	cfg := &Configuration{
		Organisations: keyed(&lst, "organisations", inv.Organisations, func(org Organisation) string { return org.Name }),
		Owners:        keyed(&lst, "owners", inv.Owners, func(own Owner) string { return own.Name }),
		Models:        keyed(&lst, "models", inv.Models, func(mdl Model) string { return mdl.Name }),
		Pools:         keyed(&lst, "pools", inv.Pools, func(pol Pool) string { return pol.Name }),
		Endpoints:     keyed(&lst, "endpoints", inv.Endpoints, func(edp Endpoint) string { return edp.Name }),
		Classes:       keyed(&lst, "classes", rul.Classes, func(cls Class) string { return cls.Name }),
	}
	return cfg, lst
}

func keyed[T any](lst *finding.List, root string, items []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(items))
	for _, item := range items {
		key := name(item)
		if _, ok := out[key]; ok {
			lst.Add(root+"["+key+"]", "name %q is given twice", key)
		}
		out[key] = item
	}
	return out
}
