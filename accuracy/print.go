package accuracy

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/violettally/violettally/internal/errs"
)

// noModelName is printed for requests for which the system chose no model.
const noModelName = "(plain requests)"

// Print writes the table of each model's estimates and that of the escalations.
func (t *Table) Print(w io.Writer) error {
	out := &printer{to: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	out.printf("%d decisions; %d broken lines, %d unknown steps passed over\n\n", t.decisions, t.brokenLines, t.unknownSteps)
	out.printf("model\twaiting\tanswers\texpected ms\tcame ms\terror\tbias\tlate\n")
	for _, m := range t.Models() {
		out.printModel(m)
	}
	out.printf("\nconfidence\toffers\tpaid\tshare\n")
	for _, b := range t.bands {
		out.printf("%s\t%d\t%d\t%s\n", b.name, b.escalations, b.worthwhile, formatFigure("%.2f", float64(b.worthwhile)/float64(b.escalations)))
	}
	return out.flush()
}

// printer writes rows of a table and keeps the first error.
type printer struct {
	to  *tabwriter.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.to, format, args...)
	}
}

// printModel writes a model's rows: one for all its responses, then one for each
// expected wait that has responses.
func (p *printer) printModel(m *ModelStats) {
	name := m.name
	if name == "" {
		name = noModelName
	}
	p.printSums(name, "all", m.Total())
	for _, w := range WaitingValues() {
		if s := m.ByWaiting(w); s.Responses() > 0 {
			p.printSums("", w.String(), s)
		}
	}
}

func (p *printer) printSums(name, waiting string, s Sums) {
	p.printf("%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", name, waiting, s.Responses(), formatFigure("%.0f", s.Expected()),
		formatFigure("%.0f", s.Actual()), formatFigure("%.2f", s.RelativeError()), formatFigure("%+.2f", s.Bias()), formatFigure("%.3f", s.LateShare()))
}

// formatFigure formats a value, or returns a dash if the divisor was zero.
func formatFigure(format string, value float64) string {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return "-"
	}
	return fmt.Sprintf(format, value)
}

// flush writes the remaining output and returns the first error.
func (p *printer) flush() error {
	if p.err == nil {
		p.err = p.to.Flush()
	}
	if p.err != nil {
		return errs.Wrap(Unwritable, "print", p.err, "tables cut short")
	}
	return nil
}
