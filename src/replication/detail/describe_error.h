#ifndef SRC_REPLICATION_DETAIL_DESCRIBE_ERROR_H_
#define SRC_REPLICATION_DETAIL_DESCRIBE_ERROR_H_

#include <string>

#include "src/core/result.h"

namespace marigold::detail {

// Returns a description of the error for one line of the log.
std::string DescribeError(const AnyError& error);

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_DESCRIBE_ERROR_H_
