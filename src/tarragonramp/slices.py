"""Maps the keys of a service to slices."""

import xxhash

__all__ = ["slice_of"]


def slice_of(key, n_slices):
    """Return the slice of a key, by a hash.

    Parameters
    ----------
    key : str
        The caller's key, as it appears in the request.
    n_slices : int
        Number of slices of the service, at least 1.

    Returns
    -------
    slice_index : int
        In ``[0, n_slices)``; the same in every process.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % n_slices
