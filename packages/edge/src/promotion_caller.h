/// \file
/// Carries out the steps of promotions that need the store or the platform.
#pragma once

#include "http_caller.h"
#include "store_clock.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/proxy/actions.h"
#include "gypsumstep/proxy/proxy.h"

#include <functional>
#include <string>

namespace gypsumstep::edge {

/// Calls the store and the platform and hands the outcomes to the proxy.
class promotion_caller : public QObject {
public:
    /// Number of daemons that connect to a group's servers.
    using home_count = std::function<std::size_t(const std::string& service)>;

    /// \param after_event called after the proxy was told something
    promotion_caller(const adapter::node_settings& settings, store_clock& clock, proxy::proxy& told,
                     home_count homes, std::function<void()> after_event);

    void run(const proxy::promotion_step& wanted);

private:
    void read_state(const std::string& service);
    void report_suspicion(const std::string& service, const std::string& primary);
    void write_claim(const std::string& service, const promotion::write_claim& wanted);
    void order(const std::string& service, const promotion::order_promotion& wanted);

    std::string m_daemon;
    proxy::proxy& m_proxy;
    home_count m_home_count;
    std::function<void()> m_after_event;
    http_caller m_store;
    http_caller m_platform;
    store_clock& m_clock;
};

} // namespace gypsumstep::edge
