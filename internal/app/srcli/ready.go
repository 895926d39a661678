package srcli

import "fmt"

type readyCommand struct {
	Operate string `required:"" help:"Operator address of the instance, IP:PORT."`
}

// Run fails with the reason while the instance takes no requests.
func (c readyCommand) Run(o *output) error {
	if _, err := get(c.Operate, "/v1/ready"); err != nil {
		return err
	}
	_, err := fmt.Fprintln(o.out, "ready")
	return err
}
