/// \file
/// Access to a group's failover claim in the platform's table.
#pragma once

#include "gypsumstep/failover/events.h"
#include "gypsumstep/platform/client.h"

#include <functional>
#include <string>

namespace gypsumstep::daemon {

/// Reads and writes the row "failover/GROUP". The handlers are called once for each call.
class claim_store {
public:
    /// \param platform outlives this object
    claim_store(platform::client& platform, const std::string& group);

    /// Reads the row; a missing row is reported as an empty claim.
    void read(std::function<void(const failover::claim_read&)> done);
    /// Writes \p row if the stored row has the preceding version, else reports a conflict.
    void write(const failover::claim_row& row,
               std::function<void(const failover::claim_written&)> done);

private:
    platform::client& m_platform;
    std::string m_key;
};

} // namespace gypsumstep::daemon
