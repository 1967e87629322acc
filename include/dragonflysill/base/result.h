#pragma once

#include "dragonflysill/base/error.h"

#include <utility>
#include <variant>

namespace dragonflysill {

/** Holds either the value that an operation returned or the Error with which it failed. */
template <typename T>
class Result
{
public:
    Result(T value)
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }
    Result(Error error)
        : m_state(std::in_place_index<1>, std::move(error))
    {
    }

    /** Returns true if a value is held. */
    [[nodiscard]] bool ok() const { return m_state.index() == 0; }
    explicit operator bool() const { return ok(); }

    /** Returns the value; must not be called on an error. */
    [[nodiscard]] const T &value() const & { return std::get<0>(m_state); }
    [[nodiscard]] T &value() & { return std::get<0>(m_state); }
    [[nodiscard]] T &&value() && { return std::get<0>(std::move(m_state)); }
    const T &operator*() const & { return value(); }
    T &operator*() & { return value(); }
    const T *operator->() const { return &value(); }
    T *operator->() { return &value(); }

    /** Returns the error; must not be called on a value. */
    [[nodiscard]] const Error &error() const { return std::get<1>(m_state); }

private:
    std::variant<T, Error> m_state;
};

/** The value type of a Result that carries no data. */
using Done = std::monostate;

} // namespace dragonflysill
