#include "gypsumstep/promotion/claim_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsumstep::promotion {

claim_exchange::claim_exchange(std::string daemon, std::uint64_t seed)
    : m_daemon{std::move(daemon)}, m_random{seed}
{
}

void claim_exchange::follow(const std::string& service)
{
    m_followed.insert(service);
}

void claim_exchange::on_store_read(const std::string& service, const std::optional<claim>& newest,
                                   time_point asked_at)
{
    if (newest) {
        learn({service, newest->token, newest->target});
    }
    const auto [place, added] = m_store_reads.emplace(service, asked_at);
    place->second = std::max(place->second, asked_at);
}

void claim_exchange::learn(const claim_notice& notice)
{
    const auto found = m_claims.find(notice.service);
    if (found == m_claims.end()) {
        if (notice.token > 0) {
            m_claims.emplace(notice.service, notice);
        }
    }
    else if (notice.token > found->second.token) {
        found->second = notice;
    }
}

const claim_notice* claim_exchange::newest(std::string_view service) const
{
    const auto found = m_claims.find(service);
    return found == m_claims.end() ? nullptr : &found->second;
}

bool claim_exchange::allows(std::string_view service, std::string_view server) const
{
    const claim_notice* const claim = newest(service);
    return claim == nullptr || (!server.empty() && claim->target == server);
}

std::optional<time_point> claim_exchange::last_answer(std::string_view service) const
{
    const auto read = m_store_reads.find(service);
    if (read == m_store_reads.end()) {
        // Claims from before this daemon's start are known only to the store.
        return std::nullopt;
    }
    return m_last_contact ? std::max(*m_last_contact, read->second) : read->second;
}

bool claim_exchange::is_permitted(std::string_view service, time_point now) const
{
    const auto answered = last_answer(service);
    return answered && now - *answered < permit_lifetime;
}

bool claim_exchange::needs_store_read(std::string_view service, time_point now) const
{
    const auto answered = last_answer(service);
    return !answered || now - *answered >= store_read_interval;
}

void claim_exchange::release(release_notice notice)
{
    std::string service = notice.service;
    m_releases.insert_or_assign(std::move(service), std::move(notice));
}

std::vector<std::string> claim_exchange::unreleased() const
{
    std::vector<std::string> services;
    for (const auto& [service, claim] : m_claims) {
        const auto released = m_releases.find(service);
        if (released == m_releases.end() || released->second.token != claim.token) {
            services.push_back(service);
        }
    }
    return services;
}

void claim_exchange::begin_hand_over(const std::string& service, std::string former, time_point now)
{
    const claim_notice* const claim = newest(service);
    hand_over started;
    started.token = claim == nullptr ? 0 : claim->token;
    started.former = std::move(former);
    started.started_at = now;
    started.next_ask_at = now;
    for (const peer& daemon : m_daemons) {
        started.pending.insert(daemon.name);
    }
    m_hand_overs.insert_or_assign(service, std::move(started));
}

std::optional<hand_over_result> claim_exchange::finish_hand_over(const std::string& service,
                                                                 time_point now)
{
    const auto found = m_hand_overs.find(service);
    if (found == m_hand_overs.end()) {
        return std::nullopt;
    }
    hand_over& running = found->second;
    const auto own = m_releases.find(service);
    const bool released_here = own != m_releases.end() && own->second.token == running.token;
    if (released_here) {
        on_confirmation(m_daemon, own->second);
    }
    const bool all_confirmed = released_here && running.pending.empty();
    if (!running.former_demoted && !all_confirmed && now - running.started_at < release_timeout) {
        return std::nullopt;
    }
    hand_over_result result{running.position};
    m_hand_overs.erase(found);
    return result;
}

void claim_exchange::on_confirmation(const std::string& sender, const release_notice& notice)
{
    const auto found = m_hand_overs.find(notice.service);
    if (found == m_hand_overs.end() || found->second.token != notice.token) {
        return;
    }
    hand_over& running = found->second;
    running.pending.erase(sender);
    running.confirmed.insert(sender);
    if (notice.demoted.empty()) {
        return;
    }
    // A daemon that missed earlier claims may have demoted a server that led before.
    running.former_demoted =
        running.former_demoted || running.former.empty() || notice.demoted == running.former;
    if (notice.position && (!running.position || *running.position < *notice.position)) {
        running.position = notice.position;
    }
}

bool claim_exchange::is_listed(std::string_view daemon) const
{
    return std::any_of(m_daemons.begin(), m_daemons.end(),
                       [daemon](const peer& listed) { return listed.name == daemon; });
}

void claim_exchange::on_message(const peer_message& message, time_point now)
{
    for (const claim_notice& notice : message.claims) {
        learn(notice);
    }
    if (!message.is_answer) {
        if (!is_listed(message.sender)) {
            m_guests.insert_or_assign(message.sender, now);
        }
        m_unanswered.push_back(message);
        return;
    }
    const auto question = m_questions.find(message.number);
    if (question == m_questions.end()) {
        return;
    }
    m_last_contact =
        m_last_contact ? std::max(*m_last_contact, question->second) : question->second;
    m_questions.erase(question);
    for (const release_notice& notice : message.releases) {
        on_confirmation(message.sender, notice);
        const auto found = m_hand_overs.find(notice.service);
        if (found == m_hand_overs.end() || found->second.token != notice.token) {
            continue;
        }
        // A guest may have been told of no newer claim just before the sender learned of this one.
        for (const std::string& guest : message.guests) {
            if (guest != m_daemon && !found->second.confirmed.contains(guest)) {
                found->second.pending.insert(guest);
            }
        }
    }
}

peer_message claim_exchange::answer_to(const peer_message& question, time_point now)
{
    peer_message answer;
    answer.sender = m_daemon;
    answer.number = question.number;
    answer.is_answer = true;
    for (const claim_notice& asked : question.claims) {
        const claim_notice* const known = newest(asked.service);
        if (known != nullptr && known->token > asked.token) {
            answer.claims.push_back(*known);
        }
        const auto released = m_releases.find(asked.service);
        if (released != m_releases.end() && released->second.token == asked.token) {
            answer.releases.push_back(released->second);
        }
    }
    std::erase_if(m_guests,
                  [now](const auto& guest) { return now - guest.second > permit_lifetime; });
    for (const auto& [guest, asked_at] : m_guests) {
        if (guest != question.sender && !is_listed(guest)) {
            answer.guests.push_back(guest);
        }
    }
    return answer;
}

void claim_exchange::ask(const std::string& daemon, time_point now)
{
    peer_message question;
    question.sender = m_daemon;
    question.number = m_next_number++;
    for (const std::string& service : m_followed) {
        const claim_notice* const known = newest(service);
        question.claims.push_back(known == nullptr ? claim_notice{service, 0, {}} : *known);
    }
    m_questions.emplace(question.number, now);
    m_messages.push_back({daemon, std::move(question)});
}

void claim_exchange::on_tick(time_point now)
{
    std::erase_if(m_questions,
                  [now](const auto& question) { return now - question.second > permit_lifetime; });
    for (auto& [service, running] : m_hand_overs) {
        if (now < running.next_ask_at) {
            continue;
        }
        running.next_ask_at = now + release_ask_interval;
        for (const std::string& daemon : running.pending) {
            ask(daemon, now);
        }
    }
    if (now < m_next_ask_at || m_followed.empty() || m_daemons.empty()) {
        return;
    }
    m_next_ask_at = now + m_random.between(ask_interval * 3 / 4, ask_interval);
    // One in the same failure domain, since traffic between regions costs money, and any other.
    std::vector<const peer*> near;
    for (const peer& daemon : m_daemons) {
        if (daemon.is_near) {
            near.push_back(&daemon);
        }
    }
    if (!near.empty()) {
        ask(near[m_random.below(near.size())]->name, now);
    }
    ask(m_daemons[m_random.below(m_daemons.size())].name, now);
}

std::vector<outgoing_message> claim_exchange::take_messages(time_point now)
{
    for (const peer_message& question : std::exchange(m_unanswered, {})) {
        m_messages.push_back({question.sender, answer_to(question, now)});
    }
    return std::exchange(m_messages, {});
}

} // namespace gypsumstep::promotion
