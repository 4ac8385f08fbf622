"""RPC between the processes of a cell: Thrift over TCP."""
