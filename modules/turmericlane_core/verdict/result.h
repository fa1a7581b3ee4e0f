#pragma once

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace turmericlane
{

/** A value, or the error that explains why there is none.

    Functions that can fail on bad input return a result instead of throwing.

    @code
    auto parsed = parse_bundle(text);
    if (!parsed)
        return fail(parsed.error());
    use(*parsed);
    @endcode
*/
template <class T, class Error = std::string>
class result
{
public:
    /** Makes a result with a value. */
    result(T value)
        : value_(std::move(value))
    {
    }

    /** Makes a result without a value.
        @param cause  the error; it names the input at fault */
    static result failure(Error cause)
    {
        result failed_result;
        failed_result.error_ = std::move(cause);
        return failed_result;
    }

    /** True if there is a value. */
    explicit operator bool() const noexcept
    {
        return value_.has_value();
    }

    /** Returns the value. There must be one. */
    T& operator*()
    {
        assert(value_.has_value());
        return *value_;
    }

    /** Returns the value. There must be one. */
    const T& operator*() const
    {
        assert(value_.has_value());
        return *value_;
    }

    /** Returns a pointer to the value. There must be one. */
    T* operator->()
    {
        assert(value_.has_value());
        return &*value_;
    }

    /** Returns a pointer to the value. There must be one. */
    const T* operator->() const
    {
        assert(value_.has_value());
        return &*value_;
    }

    /** Returns the error. There must be no value. */
    const Error& error() const
    {
        assert(!value_.has_value());
        return error_;
    }

private:
    result() = default;

    std::optional<T> value_;
    Error error_{};
};

} // namespace turmericlane
