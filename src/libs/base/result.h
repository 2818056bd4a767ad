#pragma once

#include <functional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace mimosarail {

/// What went wrong across an interface, in terms the caller can act on.
enum class Errc {
  kTimeout = 1,    ///< No reply in time; the action may have taken effect.
  kDisconnected,   ///< The connection broke; the action may have taken effect.
  kUnavailable,    ///< Refused before anything happened.
  kMalformed,      ///< The bytes do not decode.
  kInvalid,        ///< The content breaks a documented bound.
  kUnknownMethod,  ///< The receiver has no such call.
};

/// Category of Errc; safe to call from any thread.
const std::error_category& ErrorCategory() noexcept;

/// Found by argument-dependent lookup; safe to call from any thread.
std::error_code make_error_code(Errc code) noexcept;

/// An error code and the detail that an operator needs.
struct Error {
  std::error_code code;
  std::string message;
};

/// A value or the error that stands in its place. Not thread-safe.
template <typename T>
class Result {
 public:
  // Implicit, so that functions return a value or an error as it is.
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

/// Takes the end of an asynchronous call, once.
template <typename T>
using Callback = std::function<void(Result<T>)>;

}  // namespace mimosarail

template <>
struct std::is_error_code_enum<mimosarail::Errc> : std::true_type {};
