#include "claim_store.h"

#include <nlohmann/json.hpp>

namespace gypsumstep::daemon {
namespace {

using nlohmann::json;

json to_json(const failover::claim_row& row)
{
    return {{"claimed", row.claimed.value()},
            {"claimant", row.claim.claimant.value()},
            {"round", row.claim.round},
            {"recorded", row.phase == failover::claim_phase::recorded},
            {"primary_term", row.primary.primary_term.value()},
            {"primary", row.primary.server.value()}};
}

failover::claim_row row_from(const platform::table_row& stored)
{
    failover::claim_row row;
    row.version = stored.version;
    if (!stored.value.is_object()) {
        return row;
    }
    const auto number = [&stored](const char* name) { return stored.value.value(name, 0ULL); };
    row.claimed = term{number("claimed")};
    row.claim = {daemon_id{number("claimant")}, number("round")};
    row.phase = stored.value.value("recorded", true) ? failover::claim_phase::recorded
                                                     : failover::claim_phase::claimed;
    row.primary = {term{number("primary_term")},
                   server_id{static_cast<std::uint32_t>(number("primary"))}};
    return row;
}

} // namespace

claim_store::claim_store(platform::client& platform, const std::string& group)
    : m_platform{platform}, m_key{"failover/" + group}
{
}

void claim_store::read(std::function<void(const failover::claim_read&)> done)
{
    m_platform.get(m_key, [done = std::move(done)](const result<platform::table_row>& answer) {
        using failover::platform_status;
        if (answer.has_value()) {
            done({platform_status::done, row_from(answer.value())});
        }
        else if (answer.error().code == error_code::not_found) {
            done({platform_status::done, {}});
        }
        else {
            done({platform_status::unavailable, {}});
        }
    });
}

void claim_store::write(const failover::claim_row& row,
                        std::function<void(const failover::claim_written&)> done)
{
    const platform::table_write write{m_key, row.version - 1, to_json(row)};
    m_platform.compare_and_set(
        write, [row, done = std::move(done)](const result<platform::write_outcome>& answer) {
            using failover::platform_status;
            if (answer.has_error()) {
                done({row.claim, platform_status::unavailable, {}});
            }
            else if (answer.value().applied) {
                done({row.claim, platform_status::done, row});
            }
            else {
                done({row.claim, platform_status::conflict, row_from(answer.value().current)});
            }
        });
}

} // namespace gypsumstep::daemon
