// Package strictjson reads JSON that a person wrote and reports every mistake
// in it at once.
//
// [Decode] differs from encoding/json in that it goes on after a mistake,
// names the path of each one, such as "deployments.hop-advisor.replicas.max",
// and accepts neither unknown fields, repeated keys, names in the wrong case
// nor anything behind the value. It follows the json tags of struct fields and
// the [encoding.TextUnmarshaler] of types that have one.
package strictjson
