// Package errs gives the errors of all packages the same structure: one errorx
// namespace per package, one errorx type per kind of failure, and the operation
// that failed as a printable property.
//
// # Usage
//
//	var (
//		namespace = errs.Namespace("lease")
//		Expired   = namespace.NewType("expired")
//	)
//
//	return errs.Wrap(Expired, "renew", err, "lease %s", name)
//
// A caller tells kinds apart with errorx.IsOfType and reads the operation with
// [Op].
package errs

import (
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var (
	opProperty         = errorx.RegisterPrintableProperty("op")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
)

// Namespace returns the errorx namespace for a package's errors. They carry no
// stack trace: the operation already says where an error comes from, and an
// overloaded system creates thousands of refusals.
func Namespace(name string) errorx.Namespace {
	return errorx.NewNamespace(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}

// New returns an error of the given kind that names the operation op.
func New(kind *errorx.Type, op, format string, args ...any) error {
	return kind.New(format, args...).WithProperty(opProperty, op)
}

// Wrap returns an error of the given kind that names the operation op and
// carries err as its cause.
func Wrap(kind *errorx.Type, op string, err error, format string, args ...any) error {
	return kind.Wrap(err, format, args...).WithProperty(opProperty, op)
}

// Op returns the operation named by an error from [New] or [Wrap], or "".
func Op(err error) string {
	op, _ := errorx.ExtractProperty(err, opProperty)
	name, _ := op.(string)
	return name
}

// WithRetryAfter adds to an errorx error how long to wait before what was refused is tried again.
func WithRetryAfter(err error, wait time.Duration) error {
	return errorx.Cast(err).WithProperty(retryAfterProperty, wait)
}

// RetryAfter returns what [WithRetryAfter] added to an error, or zero.
func RetryAfter(err error) time.Duration {
	value, _ := errorx.ExtractProperty(err, retryAfterProperty)
	wait, _ := value.(time.Duration)
	return wait
}

// Kind returns the errorx type name of an error, without its namespace, as logs
// and metrics show it. It returns "" if err is not an errorx error.
func Kind(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return ""
	}
	return TypeKind(typed.Type())
}

// TypeKind returns the name of an errorx type without its namespace.
func TypeKind(t *errorx.Type) string {
	name := t.FullName()
	return name[strings.LastIndexByte(name, '.')+1:]
}

// IsOfType reports whether the first errorx error that err wraps is of a type. Unlike
// errorx.IsOfType, it also looks behind errors of other packages.
func IsOfType(err error, t *errorx.Type) bool {
	var typed *errorx.Error
	return errors.As(err, &typed) && typed.IsOfType(t)
}

// Is reports whether target is err or one of its causes. Unlike errors.Is, it
// also follows the causes of errorx errors.
func Is(err, target error) bool {
	for err != nil {
		if errors.Is(err, target) {
			return true
		}
		typed := errorx.Cast(err)
		if typed == nil {
			return false
		}
		err = typed.Cause()
	}
	return false
}
