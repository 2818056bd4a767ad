#pragma once

#include <functional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace mimosarail {

/// Reasons why a call across an interface failed, as far as they make a
/// difference to its caller.
enum class Errc {
  kTimeout = 1,    ///< No reply in time; the call may have taken effect.
  kDisconnected,   ///< The connection broke; the call may have taken effect.
  kUnavailable,    ///< Refused before it had any effect.
  kMalformed,      ///< The bytes cannot be decoded.
  kInvalid,        ///< The content violates a documented bound.
  kUnknownMethod,  ///< The receiver does not implement the method.
};

/// Error category of Errc. Thread-safe.
const std::error_category& ErrorCategory() noexcept;

/// Converts an Errc for std::error_code, whose constructor finds this function
/// by argument-dependent lookup under this name. Thread-safe.
std::error_code make_error_code(Errc code) noexcept;

/// An error code and a message for operators.
struct Error {
  std::error_code code;
  std::string message;
};

/// A value, or the error that prevented it. Not thread-safe.
template <typename T>
class Result {
 public:
  // Implicit, so that functions can return a plain value or error.
  // NOLINTBEGIN(google-explicit-constructor)
  Result(T value) : state_(std::move(value)) {}
  Result(Error error) : state_(std::move(error)) {}
  Result(Errc code, std::string message = {})
      : state_(Error{make_error_code(code), std::move(message)}) {}
  // NOLINTEND(google-explicit-constructor)

  bool ok() const { return std::holds_alternative<T>(state_); }
  /// Precondition: ok().
  const T& value() const { return std::get<T>(state_); }
  /// Precondition: ok().
  T& value() { return std::get<T>(state_); }
  /// Precondition: !ok().
  const Error& error() const { return std::get<Error>(state_); }

 private:
  std::variant<T, Error> state_;
};

/// Receives the result of an asynchronous call, exactly once.
template <typename T>
using Callback = std::function<void(Result<T>)>;

}  // namespace mimosarail

template <>
struct std::is_error_code_enum<mimosarail::Errc> : std::true_type {};
