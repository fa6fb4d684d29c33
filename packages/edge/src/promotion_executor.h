/// \file
/// Performs the steps of promotions that call the store or the platform.
#pragma once

#include "http_client.h"
#include "store_clock.h"
#include "store_era.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/promotion/claim_memory.h"
#include "gypsumstep/proxy/actions.h"
#include "gypsumstep/proxy/proxy.h"

#include <QTimer>

#include <cstdint>
#include <functional>
#include <string>

namespace gypsumstep::edge {

/// Calls the store and the platform and passes the outcomes to the proxy.
class promotion_executor : public QObject {
public:
    /// Returns the number of daemons that connect to a group's servers.
    using home_counter = std::function<std::size_t(const std::string& service)>;

    /// \param after_event called after each outcome that was passed to the proxy
    promotion_executor(const adapter::node_settings& settings, store_clock& clock, store_era& era,
                       std::uint64_t seed, proxy::proxy& proxy, home_counter count_homes,
                       std::function<void()> after_event);

    /// Starts the calls of one step. The outcome reaches the proxy later.
    void run(const proxy::promotion_step& action);

    /// Reads the claims on all groups and passes them to the proxy.
    void read_claims();

    /// Returns the number of claims that were written again after the store had lost them.
    [[nodiscard]] std::uint64_t restored_claims() const { return m_restored_claims; }

private:
    void on_store_rolled_back(dropped_state& dropped);
    /// Writes the remembered claims that the store lost again.
    void restore_claims();
    void restore_claim(const std::string& service, const promotion::shared_state& state);
    /// Remembers what was read, and raises the lowest token that a claim of this daemon may have.
    void complete_state(const std::string& service, promotion::shared_state& state);

    /// Returns the decoded claims; nothing if the call failed, which is logged.
    [[nodiscard]] std::optional<adapter::claim_rows>
    claims_of(const result<adapter::http_response>& response);
    void read_state(const std::string& service);
    /// Completes the state with the suspicions; \p claims is empty if they hold the claim, too.
    void read_suspicions(const std::string& service, std::optional<adapter::claim_rows> claims);
    void report_suspicion(const std::string& service, const std::string& primary);
    void write_claim(const std::string& service, const promotion::write_claim& claim);
    void order_promotion(const std::string& service, const promotion::order_promotion& order);

    std::string m_daemon_name;
    proxy::proxy& m_proxy;
    home_counter m_count_homes;
    std::function<void()> m_after_event;
    http_client m_store_client;
    http_client m_claims_client; ///< apart, so that a promotion's calls do not delay it
    http_client m_platform_client;
    store_clock& m_clock;
    store_era& m_era;
    random_source m_random;
    promotion::claim_memory m_memory;
    std::uint64_t m_restored_claims{0};
    QTimer m_restore_timer;
    adapter::claim_place m_claim_place;
};

} // namespace gypsumstep::edge
