#ifndef SRC_NET_CONTROL_SEEDS_FILE_H_
#define SRC_NET_CONTROL_SEEDS_FILE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/core/settings_values.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Watches a file with the addresses of control VMs, which another program
// replaces while this process runs. The addresses are separated by commas or
// white space. A content that is anything else is logged and ignored.
class SeedsFile {
 public:
  using SeedsHandler = std::function<void(const std::vector<Endpoint>& seeds)>;

  // `on_changed` is called on any worker with the addresses of the first valid
  // content and of each other one after it. It must not refer to an object that
  // is destroyed before the pool has stopped.
  SeedsFile(WorkerPool& pool, std::string path, SeedsHandler on_changed);
  ~SeedsFile();

  SeedsFile(const SeedsFile&) = delete;
  SeedsFile& operator=(const SeedsFile&) = delete;

  // Reads the file now, and again in regular intervals. Does nothing if the
  // path is empty.
  void Read();

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_SEEDS_FILE_H_
