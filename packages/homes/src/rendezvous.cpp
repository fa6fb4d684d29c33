#include "rendezvous.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/rendezvous.h"

namespace gypsumstep::homes {
namespace {

double weighted_score(const daemon_entry& daemon, std::uint64_t hash)
{
    return rendezvous_score(hash, daemon.capacity);
}

} // namespace

double group_score(const daemon_entry& daemon, std::string_view service)
{
    return weighted_score(daemon, hash_combine(stable_hash(daemon.name), stable_hash(service)));
}

double account_score(const daemon_entry& daemon, std::string_view service, std::string_view account)
{
    const std::uint64_t subject = hash_combine(stable_hash(service), stable_hash(account));
    return weighted_score(daemon, hash_combine(stable_hash(daemon.name), subject));
}

std::uint64_t session_hash(std::string_view daemon, std::uint64_t session_number)
{
    return hash_combine(stable_hash(daemon), session_number);
}

} // namespace gypsumstep::homes
