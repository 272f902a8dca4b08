#ifndef TESTS_ROW_INDICES_H_
#define TESTS_ROW_INDICES_H_

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstddef>

namespace marigold {

// Returns the indexes of the rows of a table as the parameters of a Criterion
// test.
template <class Row, std::size_t kCount>
criterion_test_params RowIndices(const Row (&)[kCount]) {
  static std::size_t indices[kCount];
  for (std::size_t i = 0; i < kCount; ++i) {
    indices[i] = i;
  }
  return cr_make_param_array(std::size_t, indices, kCount);
}

}  // namespace marigold

#endif  // TESTS_ROW_INDICES_H_
