// Homes by group and client account.
#include "rendezvous.h"

#include "gypsumstep/homes/home_table.h"

#include <algorithm>
#include <tuple>

namespace gypsumstep::homes {
namespace {

/// An account is spread over all homes of a region if it sends at least this many times the even
/// part of a home there. Below, one home serves it beside others without being much busier.
constexpr double large_account_part = 0.25;

constexpr int farthest_in_region = 1;

} // namespace

std::vector<daemon_entry> home_table::account_order(std::string_view service,
                                                    std::uint32_t max_connections,
                                                    const account_traffic& account,
                                                    std::uint64_t session_number,
                                                    time_point now) const
{
    std::vector<daemon_entry> homes = homes_of(service, max_connections);
    const bool by_account = is_concentrated(account, homes, max_connections);
    const auto key = [&](const daemon_entry& daemon) {
        const int distance = distance_to(daemon.domain);
        const bool in_region = distance <= farthest_in_region;
        // A daemon's own clients reach it without a hop.
        const double preference =
            by_account ? -account_score(daemon, service, account.name)
            : daemon.name == m_self
                ? -1.0
                : static_cast<double>(session_hash(daemon.name, session_number));
        return std::tuple{is_failing(daemon.name, now), !in_region, by_account ? 0 : distance,
                          preference};
    };
    std::sort(homes.begin(), homes.end(), [&](const daemon_entry& left, const daemon_entry& right) {
        return key(left) < key(right);
    });
    return homes;
}

bool home_table::serves_account(std::string_view service, std::uint32_t max_connections,
                                const account_traffic& account, time_point now) const
{
    const auto order = account_order(service, max_connections, account, 0, now);
    return !order.empty() && order.front().name == m_self;
}

bool home_table::is_concentrated(const account_traffic& account,
                                 const std::vector<daemon_entry>& homes,
                                 std::uint32_t max_connections) const
{
    // Servers without a limit have a connection for each account at each daemon.
    if (account.name.empty() || max_connections == 0) {
        return false;
    }
    const auto in_region =
        std::count_if(homes.begin(), homes.end(), [this](const daemon_entry& daemon) {
            return distance_to(daemon.domain) <= farthest_in_region;
        });
    return account.share * static_cast<double>(in_region) < large_account_part;
}

} // namespace gypsumstep::homes
