// Package strictjson decodes JSON written by hand and reports all mistakes in it
// at once.
//
// Unlike encoding/json, [Decode] continues after a mistake, reports the path of
// each one, such as "deployments.hop-advisor.replicas.max", and rejects unknown
// fields, repeated keys, names in the wrong case and text after the value. It
// follows the json tags of struct fields and uses [encoding.TextUnmarshaler] where
// a type implements it.
package strictjson
