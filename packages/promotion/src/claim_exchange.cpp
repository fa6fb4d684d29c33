#include "gypsumstep/promotion/claim_exchange.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::promotion {
claim_exchange::claim_exchange(std::string daemon, std::uint64_t seed)
    : m_daemon{std::move(daemon)}, m_random{seed}
{
}

void claim_exchange::set_homes(const std::string& service, std::vector<std::string> homes)
{
    m_homes.insert_or_assign(service, std::move(homes));
}

void claim_exchange::follow(const std::string& service)
{
    m_followed.insert(service);
}

void claim_exchange::on_claims_read(const std::vector<claim_notice>& claims, time_point asked_at)
{
    for (const claim_notice& notice : claims) {
        learn(notice);
    }
    m_read_at = asked_at;
    if (m_settles_at && asked_at < *m_settles_at) {
        // The homes may tell what the store lost; until then no permit follows from this reading.
        m_known_until = m_known_until.value_or(asked_at - permit_lifetime);
        return;
    }
    m_known_until = std::max(m_known_until.value_or(asked_at), asked_at);
}

void claim_exchange::on_store_era(std::uint64_t era, time_point now)
{
    m_store_era = era;
    m_settles_at = now + claims_settle_time;
    m_hand_overs.clear();
    m_home_questions.clear();
}

void claim_exchange::learn(const claim_notice& notice)
{
    const auto [place, added] = m_claims.emplace(notice.service, notice);
    if (!added && notice.token > place->second.token) {
        place->second = notice;
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

std::optional<duration> claim_exchange::age(time_point now) const
{
    return m_known_until ? std::optional{now - *m_known_until} : std::nullopt;
}

bool claim_exchange::is_permitted(std::string_view service, time_point now) const
{
    // Claims from before this daemon's start are known only to the store.
    return m_known_until && (now - *m_known_until < permit_lifetime || has_majority(service, now));
}

const std::vector<std::string>& claim_exchange::homes_of(std::string_view service) const
{
    const auto found = m_homes.find(service);
    return found == m_homes.end() || found->second.empty() ? m_daemons : found->second;
}

bool claim_exchange::has_majority(std::string_view service, time_point now) const
{
    const std::vector<std::string>& homes = homes_of(service);
    const auto reached = std::count_if(homes.begin(), homes.end(), [&](const std::string& home) {
        const auto contact = m_contacts.find(home);
        return home == m_daemon ||
               (contact != m_contacts.end() && now - contact->second < permit_lifetime);
    });
    return static_cast<std::size_t>(reached) > homes.size() / 2;
}

bool claim_exchange::needs_store_read(time_point now) const
{
    const bool is_asked = m_last_asked_at && now - *m_last_asked_at < permit_lifetime;
    if (m_followed.empty() && !is_asked) {
        return false;
    }
    const auto place = static_cast<std::size_t>(
        std::find(m_daemons.begin(), m_daemons.end(), m_daemon) - m_daemons.begin());
    const duration limit = place == 0   ? first_read_age
                           : place == 1 ? second_read_age
                                        : last_read_age;
    const auto known = age(now);
    const bool was_read = m_read_at && now - *m_read_at < limit;
    return !was_read && (!known || *known >= limit);
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
    started.next_ask_at = now;
    started.pending.insert(m_daemons.begin(), m_daemons.end());
    started.pending.insert(m_daemon);
    for (const std::string& guest : recent_guests(now)) {
        started.pending.insert(guest);
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
    if (own != m_releases.end()) {
        on_confirmation(m_daemon, own->second);
    }
    check_majority(service, running, now);
    const bool waited_out = running.majority_at && now - *running.majority_at >= release_timeout;
    if (!running.former_demoted && !running.pending.empty() && !waited_out) {
        return std::nullopt;
    }
    hand_over_result result{running.position};
    m_hand_overs.erase(found);
    return result;
}

void claim_exchange::check_majority(const std::string& service, hand_over& running,
                                    time_point now) const
{
    if (running.majority_at) {
        return;
    }
    // The homes without the claim must be too few to be a majority for one of them.
    const std::vector<std::string>& homes = homes_of(service);
    const auto without = std::count_if(homes.begin(), homes.end(), [&](const std::string& home) {
        return !running.confirmed.contains(home);
    });
    if (static_cast<std::size_t>(without) <= homes.size() / 2) {
        running.majority_at = now;
    }
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
    return std::find(m_daemons.begin(), m_daemons.end(), daemon) != m_daemons.end();
}

void claim_exchange::on_message(const peer_message& message, time_point now)
{
    for (const claim_notice& notice : message.claims) {
        learn(notice);
    }
    if (!message.is_answer) {
        m_last_asked_at = now;
        if (!is_listed(message.sender)) {
            m_guests.insert_or_assign(message.sender, now);
        }
        m_unanswered.push_back(message);
        return;
    }
    const auto question = m_questions.find(message.number);
    if (question != m_questions.end()) {
        const time_point asked_at = question->second;
        m_questions.erase(question);
        on_answer(message, asked_at);
    }
}

void claim_exchange::on_answer(const peer_message& answer, time_point asked_at)
{
    // Times count from the question: this process may have been suspended since.
    const auto [contact, added] = m_contacts.emplace(answer.sender, asked_at);
    contact->second = std::max(contact->second, asked_at);
    if (answer.age) {
        const time_point known_until = asked_at - *answer.age;
        m_known_until = std::max(m_known_until.value_or(known_until), known_until);
    }
    for (const release_notice& notice : answer.releases) {
        on_confirmation(answer.sender, notice);
        const auto found = m_hand_overs.find(notice.service);
        if (found == m_hand_overs.end() || found->second.token != notice.token) {
            continue;
        }
        // A guest may have been told of no newer claim just before the sender learned of this one.
        for (const std::string& guest : answer.guests) {
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
    answer.store_era = m_store_era;
    answer.age = age(now);
    std::map<std::string_view, std::uint64_t> asked;
    for (const claim_notice& notice : question.claims) {
        asked.emplace(notice.service, notice.token);
        const auto released = m_releases.find(notice.service);
        if (released != m_releases.end() && released->second.token == notice.token) {
            answer.releases.push_back(released->second);
        }
    }
    for (const auto& [service, claim] : m_claims) {
        const auto known = asked.find(service);
        if (known == asked.end() || known->second < claim.token) {
            answer.claims.push_back(claim);
        }
    }
    answer.guests = recent_guests(now);
    return answer;
}

std::vector<std::string> claim_exchange::recent_guests(time_point now)
{
    std::erase_if(m_guests, [&](const auto& guest) {
        return now - guest.second > permit_lifetime || is_listed(guest.first);
    });
    std::vector<std::string> names;
    for (const auto& [guest, asked_at] : m_guests) {
        names.push_back(guest);
    }
    return names;
}

void claim_exchange::ask(const std::string& daemon, time_point now)
{
    peer_message question;
    question.sender = m_daemon;
    question.number = m_next_number++;
    question.store_era = m_store_era;
    for (const auto& [service, claim] : m_claims) {
        question.claims.push_back(claim);
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
            if (daemon != m_daemon) {
                ask(daemon, now);
            }
        }
    }
    if (!m_followed.empty()) {
        ask_reader(now);
        ask_homes(now);
    }
}

void claim_exchange::ask_reader(time_point now)
{
    if (now < m_next_ask_at || m_daemons.empty()) {
        return;
    }
    m_next_ask_at = now + m_random.between(ask_interval * 3 / 4, ask_interval);
    const auto known = age(now);
    std::size_t wanted = known && *known < second_ask_age ? 1 : 2;
    for (const std::string& daemon : m_daemons) {
        if (wanted == 0) {
            return;
        }
        if (daemon != m_daemon) {
            ask(daemon, now);
            --wanted;
        }
    }
}

void claim_exchange::ask_homes(time_point now)
{
    const auto known = age(now);
    const bool is_settled = !m_settles_at || now >= *m_settles_at;
    if (is_settled && known && *known < home_ask_age) {
        return;
    }
    const duration interval = is_settled ? home_ask_interval : unsettled_ask_interval;
    for (const std::string& service : m_followed) {
        if (!is_settled && has_majority(service, now + home_ask_interval)) {
            continue; // for a while, the answers so far are enough
        }
        for (const std::string& home : homes_of(service)) {
            const auto [place, added] = m_home_questions.emplace(home, now);
            if (home != m_daemon && (added || now - place->second >= interval)) {
                place->second = now;
                ask(home, now);
            }
        }
    }
}

std::vector<outgoing_message> claim_exchange::take_messages(time_point now)
{
    for (const peer_message& question : std::exchange(m_unanswered, {})) {
        m_messages.push_back({question.sender, answer_to(question, now)});
    }
    return std::exchange(m_messages, {});
}

} // namespace gypsumstep::promotion
