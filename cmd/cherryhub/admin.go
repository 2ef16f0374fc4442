package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cherryhub/internal/admit"
	"cherryhub/internal/router"
)

// maxAdminResponseBytes limits the response that is read from an admin address.
const maxAdminResponseBytes = 64 << 20

// getAdminJSON reads a JSON response from the admin address of a running router.
func getAdminJSON(address, path string, v any) error {
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return fmt.Errorf("admin request to %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("admin request to %s%s: status %d", address, path, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAdminResponseBytes)).Decode(v); err != nil {
		return fmt.Errorf("admin request to %s%s: %w", address, path, err)
	}
	return nil
}

// adminCommand returns a command that shows a JSON response of an admin address, as a table or as JSON.
func adminCommand[T any](use, short, path string, printTable func(w io.Writer, response T)) *cobra.Command {
	var address string
	var asJSON bool
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var response T
		if err := getAdminJSON(address, path, &response); err != nil {
			return err
		}
		if asJSON {
			e := json.NewEncoder(os.Stdout)
			e.SetIndent("", "  ")
			return e.Encode(response)
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		printTable(w, response)
		return w.Flush()
	}}
	c.Flags().StringVar(&address, "admin", "127.0.0.1:8081", "the router's admin address")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func yesOrDash(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}

func peersCommand() *cobra.Command {
	return adminCommand("peers", "Show the routers that a running router knows", "/peers", func(w io.Writer, peers []router.PeerStatus) {
		fmt.Fprintln(w, "name\tzone\tweight\tself\tin sight\ton the roster")
		for _, p := range peers {
			fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%s\n", p.Name, p.Zone, p.Weight, yesOrDash(p.Self), yesOrDash(p.Alive), yesOrDash(p.OnRoster))
		}
	})
}

func dutiesCommand() *cobra.Command {
	return adminCommand("duties", "Show the owner of each periodic duty, and which duties are late", "/duties", func(w io.Writer, duties []router.DutyStatus) {
		fmt.Fprintln(w, "duty\tsubject\towner\tepoch\tdone\tlate\tcandidates")
		for _, d := range duties {
			done, late := "never", "-"
			if d.SecondsSinceDone >= 0 {
				done = fmt.Sprintf("%.2f s ago", d.SecondsSinceDone)
			}
			if d.SecondsLate > 0 {
				late = fmt.Sprintf("%.2f s", d.SecondsLate)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", d.Kind, d.Subject, d.Owner, d.Epoch, done, late, strings.Join(d.Candidates, " "))
		}
	})
}

func admissionCommand() *cobra.Command {
	return adminCommand("admission", "Show pool usage, connection holders and refusals of a running router", "/admission",
		func(w io.Writer, s router.AdmissionStatus) {
			if !s.On {
				fmt.Fprintln(w, "admission control is off")
				return
			}
			fmt.Fprintln(w, s.Descriptors)
			fmt.Fprintln(w, "\nroom\tused\tmost")
			for _, pool := range s.Pools {
				fmt.Fprintf(w, "%s\t%d\t%d\n", pool.Name, pool.Used, pool.Max)
			}
			fmt.Fprintf(w, "\nlet in\t%d\n\nreason\trefused\tended\n", s.Accepted)
			for reason := range admit.Reason(admit.NumReasons) {
				if name := reason.String(); s.Refused[name]+s.Evicted[name] > 0 {
					fmt.Fprintf(w, "%s\t%d\t%d\n", name, s.Refused[name], s.Evicted[name])
				}
			}
			fmt.Fprintln(w, "\nholder\tknown\tconnections\tanteroom\tcompletions")
			for _, h := range s.Holders {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", h.Name, yesOrDash(h.Known), h.Connections, h.Provisional, h.Completions)
			}
		})
}
