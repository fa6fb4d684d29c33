#include "gypsumstep/ctl/command.h"

namespace gypsumstep::ctl {

std::string help_text()
{
    return R"(gypsumstepctl talks to the operator endpoint of any gypsumstepd.

Usage: gypsumstepctl [FLAGS] COMMAND [WORDS]

Look:
  status                  groups, primaries, lag, peers and alarms as this daemon sees them
  report                  how fast each rank uses up the errors that its objective allows
  config show [VERSION]   the configuration in force, or an earlier version
  config history          who changed what, when and why
  config diff FROM TO     what changed between two versions

Change the configuration (each makes a new version; a stale base is refused):
  config patch --base=VERSION --reason=TEXT FILE
                          apply a JSON merge patch; FILE may have comments, - is standard
                          input. VERSION is the one you read before writing the patch.
  config rollback VERSION a new version with the content of an earlier one

Act by hand:
  promote GROUP SERVER    make SERVER the primary of GROUP; refused if it cannot be safe
  drain SERVER|DAEMON     give it no new work; what it is doing finishes
  freeze GROUP            no automatic failover until released
  release GROUP           automatic failover again
  log-level LEVEL         trace, debug, info, warn or error, until the daemon restarts

Flags:
  --daemon=ADDRESS:PORT   operator endpoint of any daemon (default 127.0.0.1:6434)
  --key-file=FILE         file whose first line is an operator key
  --json                  print JSON in place of tables
  --timeout-ms=NUMBER     how long to wait for one answer (default 5000; a patch: 35 s)
  --base, --author, --reason, --id
                          see config patch. The author is $USER if left out. A patch that
                          is sent again with the same id never counts twice.

Exit codes:
  0  done
  1  refused: the daemon understood and did nothing; the reason is printed
  2  the command line or the file is wrong; nothing was sent
  3  no daemon could be reached; nothing was done
  4  outcome unknown: sent, but no answer came. What to do next is printed.

Examples:
  gypsumstepctl --daemon=10.1.1.11:6434 --key-file=operator.key status
  gypsumstepctl config patch --base=7 --reason="replace a VM" patch.json
)";
}

} // namespace gypsumstep::ctl
