#ifndef SRC_CORE_ALLOCATOR_H_
#define SRC_CORE_ALLOCATOR_H_

namespace marigold {

// Makes the allocator return each large block to the system when it is freed.
// By default it keeps blocks up to the size of those that were freed before, so
// that a process holds what a crowd of callers has used long after they left.
void ReturnFreedMemory();

}  // namespace marigold

#endif  // SRC_CORE_ALLOCATOR_H_
