// Package standin holds small replacements for the systems around guavatrack:
// table service, VM list, engine and plain service.
//
// They speak the published protocols and are told by call or by seed to fail.
// They are honest: what the product must never do is recorded as a violation
// and not prevented. Only cmd and tests import this package.
package standin
