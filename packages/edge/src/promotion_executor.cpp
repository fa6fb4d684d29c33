#include "promotion_executor.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <utility>
#include <variant>
#include <vector>

namespace gypsumstep::edge {
namespace {

/// Timeout of one call to the store or the platform. The promotion is retried after a failure.
constexpr duration call_timeout = 1s;

const logging::logger& log()
{
    static const logging::logger instance{"promotion"};
    return instance;
}

/// Returns the outcome of a call, and logs \p log_message if it failed.
promotion::call_outcome outcome_of(const char* log_message, const std::string& service,
                                   const result<adapter::http_response>& response)
{
    if (response.has_error()) {
        log().warn(log_message, {{"service", service}, {"cause", response.error().message}});
        return promotion::call_outcome::failed;
    }
    const auto outcome = adapter::outcome_of(response.value());
    if (outcome != promotion::call_outcome::done) {
        log().warn(log_message, {{"service", service},
                                 {"status", static_cast<std::uint64_t>(response.value().status)}});
    }
    return outcome;
}

} // namespace

promotion_executor::promotion_executor(const adapter::node_settings& settings, store_clock& clock,
                                       proxy::proxy& proxy, home_counter count_homes,
                                       std::function<void()> after_event)
    : m_daemon_name{settings.name}, m_proxy{proxy}, m_count_homes{std::move(count_homes)},
      m_after_event{std::move(after_event)}, m_store_client{settings.store.host,
                                                            settings.store.port},
      m_claims_client{settings.store.host, settings.store.port},
      m_platform_client{settings.platform_api.host, settings.platform_api.port}, m_clock{clock},
      m_claim_place{settings.old_primary_stops ? adapter::claim_place::with_suspicions
                                               : adapter::claim_place::with_all_claims}
{
}

void promotion_executor::run(const proxy::promotion_step& action)
{
    if (std::holds_alternative<promotion::read_shared_state>(action.step)) {
        read_state(action.service);
    }
    else if (const auto* report = std::get_if<promotion::report_suspicion>(&action.step)) {
        report_suspicion(action.service, report->primary);
    }
    else if (const auto* claim = std::get_if<promotion::write_claim>(&action.step)) {
        write_claim(action.service, *claim);
    }
    else if (const auto* order = std::get_if<promotion::order_promotion>(&action.step)) {
        order_promotion(action.service, *order);
    }
}

void promotion_executor::read_claims()
{
    m_claims_client.call(adapter::read_claims(), call_timeout, [this](const auto& response) {
        const auto rows = claims_of(response);
        std::optional<std::vector<promotion::claim_notice>> claims;
        if (rows) {
            claims.emplace();
            for (const adapter::claim_row& row : rows->claims) {
                // A claim that cannot be read allows no server to lead.
                claims->push_back(
                    row.value
                        ? promotion::claim_notice{row.service, row.value->token, row.value->target}
                        : promotion::claim_notice{row.service, row.version, {}});
            }
        }
        m_proxy.on_claims_read(claims, boot_now());
        m_after_event();
    });
}

std::optional<adapter::claim_rows>
promotion_executor::claims_of(const result<adapter::http_response>& response)
{
    auto read = response.has_error() ? result<adapter::claim_rows>{response.error()}
                                     : adapter::decode_claims(response.value());
    if (read.has_error()) {
        log().warn("could not read the claims on promotions", {{"cause", read.error().message}});
        return std::nullopt;
    }
    for (const std::string& row : read.value().malformed) {
        log().warn("a claim on a promotion is malformed", {{"row", row}});
    }
    m_clock.set(read.value().moment.now);
    return std::move(read).value();
}

void promotion_executor::read_state(const std::string& service)
{
    if (m_claim_place == adapter::claim_place::with_suspicions) {
        read_suspicions(service, std::nullopt);
        return;
    }
    m_store_client.call(adapter::read_claims(), call_timeout,
                        [this, service](const auto& response) {
                            if (auto rows = claims_of(response)) {
                                read_suspicions(service, std::move(rows));
                                return;
                            }
                            m_proxy.on_shared_state(service, std::nullopt, boot_now());
                            m_after_event();
                        });
}

void promotion_executor::read_suspicions(const std::string& service,
                                         std::optional<adapter::claim_rows> claims)
{
    m_store_client.call(adapter::read_promotion(service), call_timeout,
                        [this, service, claims = std::move(claims)](const auto& response) {
                            std::optional<promotion::shared_state> state;
                            std::vector<std::string> malformed;
                            const auto read =
                                response.has_error()
                                    ? result<promotion::shared_state>{response.error()}
                                    : adapter::decode_promotion(response.value(), malformed);
                            if (read.has_error()) {
                                log().warn("could not read the state of the group's promotion",
                                           {{"service", service}, {"cause", read.error().message}});
                            }
                            else {
                                state = read.value();
                                state->daemons = m_count_homes(service);
                                if (claims) {
                                    adapter::set_claim(*state, service, *claims);
                                }
                                m_clock.set(state->now);
                            }
                            for (const std::string& row : malformed) {
                                log().warn("ignored a malformed row of a promotion",
                                           {{"service", service}, {"row", row}});
                            }
                            m_proxy.on_shared_state(service, state, boot_now());
                            m_after_event();
                        });
}

void promotion_executor::report_suspicion(const std::string& service, const std::string& primary)
{
    const promotion::suspicion suspicion{m_daemon_name, primary, m_clock.now()};
    m_store_client.call(adapter::write_suspicion(service, suspicion), call_timeout,
                        [this, service](const auto& response) {
                            const auto outcome =
                                outcome_of("could not report a suspicion", service, response);
                            m_proxy.on_suspicion_written(service, outcome, boot_now());
                            m_after_event();
                        });
}

void promotion_executor::write_claim(const std::string& service,
                                     const promotion::write_claim& claim)
{
    m_store_client.call(adapter::write_claim(service, claim, m_claim_place), call_timeout,
                        [this, service](const auto& response) {
                            const auto outcome = outcome_of("did not get the claim of a promotion",
                                                            service, response);
                            m_proxy.on_claim_written(service, outcome, boot_now());
                            m_after_event();
                        });
}

void promotion_executor::order_promotion(const std::string& service,
                                         const promotion::order_promotion& order)
{
    m_platform_client.call(adapter::order_promotion(service, m_daemon_name, order), call_timeout,
                           [this, service](const auto& response) {
                               const auto outcome = outcome_of(
                                   "the platform did not take a promotion", service, response);
                               m_proxy.on_promotion_ordered(service, outcome, boot_now());
                               m_after_event();
                           });
}

} // namespace gypsumstep::edge
