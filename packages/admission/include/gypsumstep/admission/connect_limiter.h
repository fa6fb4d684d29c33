/// \file
/// Rations the opening of connections to one backend server.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"

#include <cstdint>

namespace gypsumstep::admission {

/// Settings of a connect_limiter.
struct connect_limiter_settings {
    std::uint32_t highest_opening{2}; ///< connections being opened at a time
    duration first_delay{50ms};       ///< mean delay after the first failure
    duration longest_delay{2s};       ///< mean delay after many failures

    friend bool operator==(const connect_limiter_settings&,
                           const connect_limiter_settings&) = default;
};

/// Bounds the connections being opened at a time, and waits with jitter after failures
/// and losses, so that daemons do not return to a server all at once.
class connect_limiter {
public:
    explicit connect_limiter(connect_limiter_settings settings = {});

    /// True if a connection may be opened now; it then counts as being opened until
    /// opened() or failed() is called for it.
    [[nodiscard]] bool try_open(time_point now);

    /// The connection being opened is ready.
    void opened();

    /// The connection being opened failed.
    void failed(random_source& random, time_point now);

    /// An open connection was lost, other than by our own close.
    void lost(random_source& random, time_point now);

    /// Nothing may be opened before this time.
    [[nodiscard]] time_point not_before() const { return m_not_before; }

private:
    void back_off(duration mean, random_source& random, time_point now);

    connect_limiter_settings m_settings;
    std::uint32_t m_opening{0};
    std::uint32_t m_failures{0}; // in a row
    time_point m_not_before{};
};

} // namespace gypsumstep::admission
