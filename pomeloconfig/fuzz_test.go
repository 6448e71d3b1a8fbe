package pomeloconfig_test

import (
	"bytes"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

func FuzzParse(f *testing.F) {
	data, err := pomeloconfig.Encode(sample(2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("Teams: [{Name: a}]\nAccounts: {"))
	f.Add([]byte("&a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := pomeloconfig.Parse("f", data)
		if err != nil {
			return
		}
		first := encode(t, c)
		again, err := pomeloconfig.Parse("f", first)
		if err != nil {
			t.Fatalf("an accepted configuration is rejected after encoding: %v", err)
		}
		if !bytes.Equal(encode(t, again), first) {
			t.Fatal("parsing and encoding changes the bytes")
		}
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Fuzz(func(_ *testing.T, data []byte) { pomeloconfig.ParseSettings(data) })
}

func FuzzAnswers(f *testing.F) {
	f.Add([]byte(pomeloconfig.Questionnaire()))
	f.Fuzz(func(t *testing.T, data []byte) {
		answers, err := pomeloconfig.ParseAnswers("f", data)
		if err != nil {
			return
		}
		if _, err := pomeloconfig.Generate([]pomeloconfig.Answers{answers}); err != nil {
			t.Fatalf("no configuration can be generated from accepted answers: %v", err)
		}
	})
}

func FuzzRoot(f *testing.F) {
	hashes, _ := mustParts(f, sample(2))
	data, err := pomeloconfig.EncodeRoot(pomeloconfig.Root{Format: 1, Generation: 3, PreviousGeneration: 2, Parts: hashes, Previous: hashes[0]})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		root, err := pomeloconfig.DecodeRoot(data)
		if err == nil && (root.Generation == 0 || len(root.Parts) == 0) {
			t.Fatalf("an invalid root was accepted: %+v", root)
		}
	})
}

func FuzzPart(f *testing.F) {
	_, byHash := mustParts(f, sample(2))
	for _, data := range byHash {
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		hash := pomeloconfig.HashOf(data)
		pomeloconfig.Assemble(pomeloconfig.Root{Parts: []pomelorelay.Hash{hash}}, map[pomelorelay.Hash][]byte{hash: data})
	})
}
