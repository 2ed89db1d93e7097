#pragma once

#include "error.h"

#include <utility>
#include <variant>

namespace Utils {

/*! Either a value or the error that prevented it. */
template <typename T> using Result = std::variant<T, Error>;

/*! A result without a value. */
using Status = Result<std::monostate>;

/*! \return a status that stands for success. */
inline Status success()
{
    return std::monostate {};
}

/*!
    Whether a result holds a value.
    \param result the result.
    \return true if it holds a value, false if it holds an error.
*/
template <typename T> bool isOk(const Result<T>& result)
{
    return std::holds_alternative<T>(result);
}

/*!
    The value of a result.
    \param result a result for which isOk() is true.
    \return a reference to the value.
*/
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

/*!
    The error of a result.
    \param result a result for which isOk() is false.
    \return a reference to the error.
*/
template <typename T> const Error& error(const Result<T>& result)
{
    return std::get<Error>(result);
}

} // namespace Utils
