#ifndef SRC_CTL_CUSTOMER_QUERIES_H_
#define SRC_CTL_CUSTOMER_QUERIES_H_

#include "src/ctl/control_group.h"
#include "src/ctl/exit_code.h"

namespace marigold::ctl {

// Prints the customers of the route table in force with the numbers of their
// API keys, their priorities and their quotas. Never prints a key. `as_json`
// prints a JSON object instead of a table.
ExitCode PrintCustomers(ControlGroup& group, bool as_json);

}  // namespace marigold::ctl

#endif  // SRC_CTL_CUSTOMER_QUERIES_H_
