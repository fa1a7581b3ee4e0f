#pragma once

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace turmericlane
{

/** A value, or the reason why there is none.

    Functions that can fail on input return it in place of throwing.

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
    /** Holds a value. */
    result(T value)
        : value_(std::move(value))
    {
    }

    /** Makes a result without a value.
        @param why  the reason; it names the input at fault */
    static result failure(Error why)
    {
        result made;
        made.error_ = std::move(why);
        return made;
    }

    /** True if there is a value. */
    explicit operator bool() const noexcept
    {
        return value_.has_value();
    }

    /** The value. There must be one. */
    T& operator*()
    {
        assert(value_.has_value());
        return *value_;
    }

    /** The value. There must be one. */
    const T& operator*() const
    {
        assert(value_.has_value());
        return *value_;
    }

    /** Access to a member of the value. There must be one. */
    T* operator->()
    {
        assert(value_.has_value());
        return &*value_;
    }

    /** Access to a member of the value. There must be one. */
    const T* operator->() const
    {
        assert(value_.has_value());
        return &*value_;
    }

    /** The reason for the failure. There must be no value. */
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
