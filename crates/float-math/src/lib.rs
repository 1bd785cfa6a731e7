//! The transcendental functions of decisions and stored states, in one place: `clippy.toml` refuses the methods of
//! `f64` elsewhere.
//!
//! Results must be equal, bit by bit, on every machine. The optimizer may replace a function of the platform's
//! mathematical library by another one, such as `0.5.powf(x)` by `exp2(-x)`, and the last bits of the two differ.
//! [`pow`] is therefore that of `libm`, which the optimizer does not know; the others are not replaced.
//! `f64::sqrt` stays allowed: IEEE 754 prescribes its result. `f64::powi` does not: its precision is unspecified, so a
//! square is written as a product.

#![allow(clippy::disallowed_methods, reason = "this is the one place for them")]

/// The cosine of `angle`, in radians.
#[inline]
pub fn cos(angle: f64) -> f64 {
    angle.cos()
}

/// `e` to the power of `exponent`.
#[inline]
pub fn exp(exponent: f64) -> f64 {
    exponent.exp()
}

/// The natural logarithm of `value`.
#[inline]
pub fn ln(value: f64) -> f64 {
    value.ln()
}

/// The logarithm of `value` to base 10.
#[inline]
pub fn log10(value: f64) -> f64 {
    value.log10()
}

/// `base` to the power of `exponent`.
#[inline]
pub fn pow(base: f64, exponent: f64) -> f64 {
    libm::pow(base, exponent)
}
