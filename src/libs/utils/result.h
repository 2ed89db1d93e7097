#pragma once

#include "error.h"

#include <utility>
#include <variant>

namespace Utils {

/*! Either a value or the error that occurred instead. */
template <typename T> using Result = std::variant<T, Error>;

/*! A result without a value. */
using Status = Result<std::monostate>;

inline Status success()
{
    return std::monostate {};
}

/*! Returns whether \a result holds a value rather than an error. */
template <typename T> bool isOk(const Result<T>& result)
{
    return std::holds_alternative<T>(result);
}

/*! Returns the value of a result for which isOk() is true. */
template <typename T> const T& value(const Result<T>& result)
{
    return std::get<T>(result);
}

/*! \overload */
template <typename T> T& value(Result<T>& result)
{
    return std::get<T>(result);
}

/*! \overload */
template <typename T> T value(Result<T>&& result)
{
    return std::get<T>(std::move(result));
}

/*! Returns the error of a result for which isOk() is false. */
template <typename T> const Error& error(const Result<T>& result)
{
    return std::get<Error>(result);
}

} // namespace Utils
