marigold_program(src/programs/marigold_entry.cc marigold_net)
marigold_program(tools/programs/marigold_standin.cc marigold_standin)
marigold_program(tools/programs/marigold_bench.cc marigold_bench)
marigold_program(src/programs/marigold_control.cc marigold_net)
