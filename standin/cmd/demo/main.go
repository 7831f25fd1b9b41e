// Command demo runs a fleet on loopback under faults and prints a table.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"galenaridge/client"
	"galenaridge/core/questionnaire"
	"galenaridge/io/document"
	"galenaridge/standin/harness"
)

func main() {
	deployment := flag.String("deployment", "kuvuka", "kuvuka or bluemahoe")
	instances := flag.Int("instances", 9, "number of instances")
	dir := flag.String("dir", "", "directory for logs")
	flag.Parse()
	if err := run(*deployment, *instances, *dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(name string, instances int, dir string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 45*time.Second)
	defer cancel()
	file := filepath.Join("examples", name+".yaml")
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	answers, err := document.DecodeAnswers(file, data)
	if err != nil {
		return err
	}
	draft, err := questionnaire.Generate(answers, 0)
	if err != nil {
		return err
	}
	config, err := document.EncodeConfig(draft.Document, draft.Notes)
	if err != nil {
		return err
	}
	d := harness.Kuvuka(instances)
	if name == "bluemahoe" {
		d = harness.BlueMahoe(instances)
	}
	begin := time.Now()
	fleet, err := harness.Open(ctx, harness.Options{Deployment: d, Bin: "bin", Config: config, Dir: dir})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.WaitReady(ctx); err != nil {
		return err
	}
	fmt.Println("ready after", time.Since(begin))
	c, err := client.New(client.Options{Entries: fleet.Entries(), Domain: d.Domains[0], Via: fleet.ClientVia()})
	if err != nil {
		return err
	}
	for i := range 40 {
		r, err := c.Do(ctx, client.Request{Service: d.Services[0].Name, Method: "GET", Path: "/x"})
		fmt.Println(i, r.Outcome, r.Code, r.Message, r.Status, len(r.Body), err)
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
