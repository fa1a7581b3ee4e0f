#pragma once

namespace turmericlane
{

/** Limits retries or hedges to a share of the first attempts: each first
    attempt adds a fraction of a token, and each extra attempt takes one.

    @see dispatch_engine
*/
class token_budget
{
public:
    /** @param initial   tokens at the start
        @param capacity  largest number of tokens; it limits a burst */
    constexpr token_budget(double initial, double capacity)
        : tokens_(initial)
        , capacity_(capacity)
    {
    }

    /** Adds a fraction of a token, as a first attempt was sent.
        @param ratio  extra attempts allowed for each first attempt */
    void refill(double ratio);

    /** Takes a token.
        @returns false if there is none */
    bool try_take();

    /** True if try_take would succeed. */
    bool has_token() const;

    /** Returns the tokens as a share of the capacity, 0 to 1. */
    double fill_ratio() const;

private:
    double tokens_;
    double capacity_;
};

} // namespace turmericlane
