/// \file
/// Limits how fast connections to one backend server are opened.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"

#include <cstdint>

namespace gypsumstep::admission {

/// Settings of a connect_limiter.
struct connect_limiter_settings {
    std::uint32_t max_connecting{2}; ///< connection attempts in progress at a time
    duration initial_backoff{50ms};  ///< mean backoff after the first failure
    duration max_backoff{2s};        ///< upper bound of the mean backoff

    friend bool operator==(const connect_limiter_settings&,
                           const connect_limiter_settings&) = default;
};

/// Limits the number of concurrent connection attempts, and backs off with jitter after failed
/// attempts and lost connections, so that daemons do not all reconnect to a server at once.
class connect_limiter {
public:
    explicit connect_limiter(connect_limiter_settings settings = {});

    /// Returns true if a connection may be opened now. The attempt then counts against the limit
    /// until opened() or failed() is called for it.
    [[nodiscard]] bool try_open(time_point now);

    /// Reports that a connection attempt succeeded.
    void opened();

    /// Reports that a connection attempt failed.
    void failed(random_source& random, time_point now);

    /// Reports that an open connection was lost, other than by being closed on this side.
    void lost(random_source& random, time_point now);

    /// The end of the current backoff; try_open() returns false before it.
    [[nodiscard]] time_point not_before() const { return m_not_before; }

private:
    void back_off(duration mean, random_source& random, time_point now);

    connect_limiter_settings m_settings;
    std::uint32_t m_connecting{0};
    std::uint32_t m_failures{0}; // consecutive failed attempts
    time_point m_not_before{};
};

} // namespace gypsumstep::admission
