#include "promotion_executor.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <algorithm>
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
                                       store_era& era, std::uint64_t seed, proxy::proxy& proxy,
                                       home_counter count_homes, std::function<void()> after_event)
    : m_daemon_name{settings.name}, m_proxy{proxy}, m_count_homes{std::move(count_homes)},
      m_after_event{std::move(after_event)}, m_store_client{settings.store.host,
                                                            settings.store.port, &era},
      m_claims_client{settings.store.host, settings.store.port, &era},
      m_platform_client{settings.platform_api.host, settings.platform_api.port, &era},
      m_clock{clock}, m_era{era}, m_random{seed}, m_claim_place{
                                                      settings.old_primary_stops
                                                          ? adapter::claim_place::with_suspicions
                                                          : adapter::claim_place::with_all_claims}
{
    m_restore_timer.setSingleShot(true);
    connect(&m_restore_timer, &QTimer::timeout, this, [this] { restore_claims(); });
    m_era.add_listener([this](dropped_state& dropped) { on_store_rolled_back(dropped); });
}

void promotion_executor::on_store_rolled_back(dropped_state& dropped)
{
    dropped.calls +=
        m_store_client.cancel() + m_claims_client.cancel() + m_platform_client.cancel();
    dropped.claims += m_memory.services().size();
    dropped.promotions += m_proxy.on_store_rolled_back(boot_now());
    m_restore_timer.start(std::chrono::ceil<std::chrono::milliseconds>(
        m_random.between(duration{0}, promotion::coordinator::claim_restore_delay)));
}

void promotion_executor::restore_claims()
{
    const std::vector<std::string> services = m_memory.services();
    if (services.empty()) {
        return;
    }
    const auto retry_later = [this] {
        m_restore_timer.start(std::chrono::ceil<std::chrono::milliseconds>(
            m_random.between(duration{0}, promotion::coordinator::claim_restore_delay)));
    };
    if (m_claim_place == adapter::claim_place::with_all_claims) {
        m_claims_client.call(adapter::read_claims(), call_timeout,
                             [this, services, retry_later](const auto& response) {
                                 const auto rows = claims_of(response);
                                 if (!rows) {
                                     retry_later();
                                     return;
                                 }
                                 for (const std::string& service : services) {
                                     promotion::shared_state state;
                                     state.now = rows->moment.now;
                                     adapter::set_claim(state, service, *rows);
                                     restore_claim(service, state);
                                 }
                             });
        return;
    }
    for (const std::string& service : services) {
        m_claims_client.call(adapter::read_promotion(service), call_timeout,
                             [this, service, retry_later](const auto& response) {
                                 std::vector<std::string> malformed;
                                 const auto read =
                                     response.has_error()
                                         ? result<promotion::shared_state>{response.error()}
                                         : adapter::decode_promotion(response.value(), malformed);
                                 if (read.has_error()) {
                                     retry_later();
                                     return;
                                 }
                                 restore_claim(service, read.value());
                             });
    }
}

void promotion_executor::restore_claim(const std::string& service,
                                       const promotion::shared_state& state)
{
    const auto lost = m_memory.restore(service, state, boot_now());
    if (!lost) {
        return;
    }
    m_claims_client.call(
        adapter::restore_claim(service, *lost, m_claim_place), call_timeout,
        [this, service, token = lost->next.token](const auto& response) {
            const auto outcome =
                outcome_of("did not write a claim that the store lost again", service, response);
            if (outcome == promotion::call_outcome::done) {
                ++m_restored_claims;
                log().info("wrote a claim that the store lost again",
                           {{"service", service}, {"token", token}, {"era", m_era.current()}});
            }
            else if (outcome == promotion::call_outcome::failed) {
                m_restore_timer.start(std::chrono::ceil<std::chrono::milliseconds>(
                    m_random.between(duration{0}, promotion::coordinator::claim_restore_delay)));
            }
        });
}

void promotion_executor::complete_state(const std::string& service, promotion::shared_state& state)
{
    const time_point now = boot_now();
    if (state.current_claim) {
        m_memory.learn(service, *state.current_claim, state.now, now);
    }
    m_memory.learn_token(service, std::max(state.min_token, m_proxy.newest_token(service)));
    state.min_token = std::max({state.min_token, m_memory.highest_token(service),
                                promotion::first_token(m_era.current())});
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
    for (const adapter::claim_row& row : read.value().claims) {
        if (row.value) {
            m_memory.learn(row.service, *row.value, read.value().moment.now, boot_now());
        }
    }
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
                                complete_state(service, *state);
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
    m_memory.learn_token(service, claim.next.token);
    m_store_client.call(adapter::write_claim(service, claim, m_claim_place, m_era.current()),
                        call_timeout, [this, service, next = claim.next](const auto& response) {
                            const auto outcome = outcome_of("did not get the claim of a promotion",
                                                            service, response);
                            if (outcome == promotion::call_outcome::done) {
                                m_memory.learn(service, next, m_clock.now(), boot_now());
                            }
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
