/// \file
/// A group's claim row in the platform's table.
#pragma once

#include "gypsumstep/failover/events.h"
#include "gypsumstep/platform/client.h"

#include <functional>
#include <string>

namespace gypsumstep::daemon {

/// Reads and writes the row "failover/GROUP".
class claim_store {
public:
    claim_store(platform::client& platform, const std::string& group);

    void read(std::function<void(const failover::claim_read&)> done);
    void write(const failover::claim_row& row,
               std::function<void(const failover::claim_written&)> done);

private:
    platform::client& m_platform;
    std::string m_key;
};

} // namespace gypsumstep::daemon
