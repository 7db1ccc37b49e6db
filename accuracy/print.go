package accuracy

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/violettally/violettally/internal/errs"
)

// plain is shown for requests for which the system chose no model.
const plain = "(plain requests)"

// Print writes the table of each model's estimates and that of the offers.
func (t *Table) Print(w io.Writer) error {
	out := &printer{to: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	out.printf("%d decisions; %d broken lines, %d unknown steps passed over\n\n", t.decisions, t.broken, t.unread)
	out.printf("model\twaiting\tanswers\texpected ms\tcame ms\terror\tbias\tlate\n")
	for _, m := range t.Models() {
		out.printModel(m)
	}
	out.printf("\nconfidence\toffers\tpaid\tshare\n")
	for _, b := range t.bands {
		out.printf("%s\t%d\t%d\t%s\n", b.name, b.offers, b.paid, figure("%.2f", float64(b.paid)/float64(b.offers)))
	}
	return out.end()
}

// printer writes lines of columns and keeps the first error.
type printer struct {
	to  *tabwriter.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.to, format, args...)
	}
}

// printModel writes a model's lines: all its answers, then the parts that there
// are by what waited.
func (p *printer) printModel(m *ModelStats) {
	name := m.name
	if name == "" {
		name = plain
	}
	p.printSums(name, "all", m.Total())
	for _, w := range WaitingValues() {
		if s := m.ByWaiting(w); s.Responses() > 0 {
			p.printSums("", w.String(), s)
		}
	}
}

func (p *printer) printSums(name, waiting string, s Sums) {
	p.printf("%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", name, waiting, s.Responses(), figure("%.0f", s.Expected()),
		figure("%.0f", s.Actual()), figure("%.2f", s.RelativeError()), figure("%+.2f", s.Bias()), figure("%.3f", s.LateShare()))
}

// figure shows a value, or a dash where there was nothing to divide by.
func figure(format string, value float64) string {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return "-"
	}
	return fmt.Sprintf(format, value)
}

// end writes what is left and returns the first error.
func (p *printer) end() error {
	if p.err == nil {
		p.err = p.to.Flush()
	}
	if p.err != nil {
		return errs.Wrap(Unwritable, "print", p.err, "tables cut short")
	}
	return nil
}
