package srcli

import "fmt"

type readyCommand struct {
	Operate string `required:"" help:"Operator address of the instance, IP:PORT."`
}

// Run prints "ready" if the instance accepts requests. Otherwise it returns an error
// with the reason.
func (c readyCommand) Run(o *output) error {
	if _, err := operatorGet(c.Operate, "/v1/ready"); err != nil {
		return err
	}
	_, err := fmt.Fprintln(o.out, "ready")
	return err
}
