#ifndef SRC_POLICY_RENDEZVOUS_HASH_H_
#define SRC_POLICY_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string>

#include "src/core/checksum.h"

namespace marigold {

// The weight of a name for a key in rendezvous hashing. It is the same on every
// VM, so that all VMs rank the same names equally.
inline std::uint64_t RendezvousWeight(std::uint64_t key,
                                      const std::string& name) {
  std::string bytes = name;
  bytes.append(reinterpret_cast<const char*>(&key), sizeof(key));
  return Checksum(bytes);
}

}  // namespace marigold

#endif  // SRC_POLICY_RENDEZVOUS_HASH_H_
