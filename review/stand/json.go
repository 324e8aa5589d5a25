//go:build review

package main

import "encoding/json"

func jsonOf(x any) []byte {
	b, err := json.Marshal(x)
	if err != nil {
		panic(err)
	}
	return b
}
